/**
 * Options of V8 that change while a process runs. V8 accepts a code cache only with the options that it was
 * made with, also those of the modules of Node.js, which are built with the default options: where the
 * command line limits memory, V8 compiles them from source, which took 60 ms of a start.
 *
 * @module
 */
import { setFlagsFromString } from 'node:v8'

/** Defaults of the options that limit memory. V8 reads them once, when it creates the heap, which keeps its limits. */
const MEMORY_DEFAULTS = ['--max-old-space-size=0', '--max-semi-space-size=0'] as const

const WASM_DEFAULTS = ['--wasm-tier-up', '--wasm-dynamic-tiering'] as const

/**
 * The HTTP client's parser is a WebAssembly module. Optimizing it took 150 ms of a core and 37 MB within a
 * second of the start, and saves 7 % of the client's processor time for a stream of 70 events.
 */
const WASM_BASELINE = ['--no-wasm-tier-up', '--no-wasm-dynamic-tiering'] as const

/** The part of the global `WebAssembly` that the types of Node.js lack. */
interface WasmEngine {
  Module: new (bytes: Uint8Array) => object
}

let hasWasm = false

/** Makes V8 accept the code caches of Node.js; the limits of memory stay in force. */
export function restoreMemoryDefaults (): void {
  setFlags(MEMORY_DEFAULTS)
}

/** Switches the optimizing compiler of WebAssembly off when the first module is compiled. */
export function limitWasmToBaseline (): void {
  const engine = (globalThis as unknown as { readonly WebAssembly: WasmEngine }).WebAssembly
  engine.Module = class extends engine.Module {
    constructor (bytes: Uint8Array) {
      if (!hasWasm) setFlags(WASM_BASELINE)
      hasWasm = true
      super(bytes)
    }
  }
}

/**
 * Wraps a function that loads modules of Node.js, so that it uses their code caches also after
 * {@link limitWasmToBaseline} took effect.
 *
 * @param load - loads a module by name; calls no WebAssembly
 * @returns the same with the default options
 */
export function withDefaultFlags (load: (id: string) => unknown): (id: string) => unknown {
  return (id) => {
    if (!hasWasm) return load(id)
    setFlags(WASM_DEFAULTS)
    try {
      return load(id)
    } finally {
      setFlags(WASM_BASELINE)
    }
  }
}

function setFlags (flags: readonly string[]): void {
  for (const flag of flags) setFlagsFromString(flag)
}
