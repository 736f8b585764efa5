/**
 * Where the platform's services are, from arguments or a settings file.
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

/** The instance list and, where its address is known, the key-value service. */
export interface Target {
  readonly instances: InstanceListPort
  readonly keyValue?: KeyValuePort
  /** Frees the connections. */
  readonly close: () => Promise<void>
}

/** Both services. */
export type FullTarget = Target & { readonly keyValue: KeyValuePort }

interface Urls {
  readonly keyValueUrl?: string
  readonly instancesUrl?: string
}

/**
 * Opens the instance list, and the key-value service if its address is known.
 * Arguments go before the settings file.
 *
 * @param args - the arguments
 * @returns the services, or findings about arguments or file
 */
export async function openTarget (args: TargetArgs): Promise<Result<Target, readonly Finding[]>> {
  const urls = await resolveUrls(args)
  return urls.andThen(connectInstances)
}

/**
 * Opens both services. Arguments go before the settings file.
 *
 * @param args - the arguments
 * @returns the services, or findings about arguments or file
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
