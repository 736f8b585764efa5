/**
 * Connects to the platform's services, whose addresses come from arguments or
 * from a settings file.
 *
 * @module
 */
import type { Finding } from 'bendfall-node/settings'
import { readSettings } from 'bendfall-node/settings'
import type { InstanceListPort, KeyValuePort } from 'bendfall-platform'
import { createHttpInstanceList, createHttpKeyValue } from 'bendfall-platform'
import type { Result } from 'ts-results-es'
import { Err, Ok } from 'ts-results-es'

/** Arguments of the commands that call the platform's services. */
export const TARGET_ARGS = {
  settings: { type: 'string', valueHint: 'FILE', description: 'Settings file of any process, for the addresses of the services' },
  'key-value': { type: 'string', valueHint: 'URL', description: 'Origin of the key-value service' },
  instances: { type: 'string', valueHint: 'URL', description: 'Origin of the instance list' }
} as const

/** Values of {@link TARGET_ARGS}. */
export interface TargetArgs {
  readonly settings?: string
  readonly 'key-value'?: string
  readonly instances?: string
}

/** Clients of the instance list and, if its address is known, of the key-value service. */
export interface Target {
  readonly instances: InstanceListPort
  readonly keyValue?: KeyValuePort
  /** Closes the connections. */
  readonly close: () => Promise<void>
}

/** A target with clients of both services. */
export type FullTarget = Target & { readonly keyValue: KeyValuePort }

interface Urls {
  readonly keyValueUrl?: string
  readonly instancesUrl?: string
}

/**
 * Connects to the instance list, and to the key-value service if its address is
 * known. Arguments take precedence over the settings file.
 *
 * @param args - addresses, or path of a settings file
 * @returns the clients, or findings about the arguments or the file
 */
export async function openTarget (args: TargetArgs): Promise<Result<Target, readonly Finding[]>> {
  const urls = await resolveUrls(args)
  return urls.andThen(connectInstances)
}

/**
 * Connects to both services. Arguments take precedence over the settings file.
 *
 * @param args - addresses, or path of a settings file
 * @returns the clients, or findings about the arguments or the file
 */
export async function openFullTarget (args: TargetArgs): Promise<Result<FullTarget, readonly Finding[]>> {
  const urls = await resolveUrls(args)
  return urls.andThen((known): Result<FullTarget, readonly Finding[]> => {
    const { keyValueUrl } = known
    if (keyValueUrl === undefined) return Err([missingUrl('key-value'), ...known.instancesUrl === undefined ? [missingUrl('instances')] : []])
    return connectInstances(known).map((target) => target as FullTarget)
  })
}

async function resolveUrls (args: TargetArgs): Promise<Result<Urls, readonly Finding[]>> {
  const read = args.settings === undefined ? Ok(undefined) : await readSettings(args.settings)
  return read.map((settings) => ({
    keyValueUrl: args['key-value'] ?? settings?.platform.keyValueUrl,
    instancesUrl: args.instances ?? settings?.platform.instanceListUrl
  }))
}

function connectInstances ({ instancesUrl, keyValueUrl }: Urls): Result<Target, readonly Finding[]> {
  if (instancesUrl === undefined) return Err([missingUrl('instances')])
  const instances = createHttpInstanceList({ origin: instancesUrl })
  const keyValue = keyValueUrl === undefined ? undefined : createHttpKeyValue({ origin: keyValueUrl })
  const close = async (): Promise<void> => { await Promise.all([instances.close(), keyValue?.close()]) }
  return Ok({ instances, keyValue, close })
}

function missingUrl (name: string): Finding {
  return { file: 'arguments', pointer: '', expected: `--${name} URL or --settings FILE`, found: 'nothing' }
}
