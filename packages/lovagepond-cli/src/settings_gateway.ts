/**
 * Settings file of a gateway.
 */
import {
  DEFAULT_GATEWAY_SETTINGS,
  type GatewaySettings,
} from '@lovagepond/gateway';
import {
  boolean,
  decimal,
  duration,
  type FileValues,
  hostPort,
  integer,
  size,
  withTraits,
} from '@lovagepond/process';
import {listAgeLimitMs, z} from '@lovagepond/core';
import {COMMON_SECTIONS, controlMembersSection} from './settings_sections.js';
import {formatAddresses, keepDefined, withPort} from './settings_utils.js';

const MAX_COUNT = 1_000_000;

const gatewaySection = z.strictObject({
  listen: withTraits(hostPort(), {listens: true}),
  /** UDP address for other gateways. */
  peerListen: hostPort().optional(),
  connectTimeout: duration().optional(),
  /** Prompt tokens that an engine processes per millisecond. */
  prefillRate: decimal(0.001, MAX_COUNT).optional(),
  /** Estimate each server's speed instead of one rate for all engines. */
  serverCapacity: boolean().optional(),
  maxHeld: size().optional(),
  /** Requests that are not answered yet. */
  maxRequests: integer(1, MAX_COUNT).optional(),
  /** Open connections of callers. */
  maxConnections: integer(1, MAX_COUNT).optional(),
  drainLinger: duration().optional(),
  /** Time for which a backend server that drains still accepts requests. */
  drainTimeout: duration().optional(),
  /** Time after which a removed API key is refused everywhere. */
  revocationBound: duration().optional(),
});

const retriesSection = z.strictObject({
  /** Retries of all gateways as a fraction of requests; as in control. */
  fraction: decimal(0, 1).optional(),
  window: duration().optional(),
});

/** Sections of the settings file of a gateway. */
export const GATEWAY_SCHEMA = {
  ...COMMON_SECTIONS,
  control: controlMembersSection,
  gateway: gatewaySection,
  retries: retriesSection,
} as const;

/** Values of the settings file of a gateway. */
export type GatewayValues = FileValues<typeof GATEWAY_SCHEMA>;

/** Settings from the file; those that have a default may be missing. */
type FileSettings = Partial<GatewaySettings> &
  Pick<GatewaySettings, 'name' | 'host' | 'port' | 'controlAddresses'>;

/**
 * @param values the validated file
 * @returns settings of the gateway, without those left to the defaults
 */
export function toGatewaySettings(values: GatewayValues): FileSettings {
  const {process: identity, control, gateway, retries} = values;
  return {
    name: identity.name,
    region: identity.region,
    availabilityZone: identity.availabilityZone,
    host: gateway.listen.host,
    port: gateway.listen.port,
    controlAddresses: formatAddresses(
      withPort(control.members, control.memberPort),
    ),
    controlSilentAfterMs: listAgeLimitMs(
      gateway.drainTimeout ?? DEFAULT_GATEWAY_SETTINGS.drainTimeoutMs,
      control.silentAfter ?? DEFAULT_GATEWAY_SETTINGS.controlSilentAfterMs,
    ),
    ...keepDefined({
      controlRetryMs: control.retry,
      peerHost: gateway.peerListen?.host,
      peerPort: gateway.peerListen?.port,
      connectTimeoutMs: gateway.connectTimeout,
      prefillTokensPerMs: gateway.prefillRate,
      serverCapacity: gateway.serverCapacity,
      maxHeldBytes: gateway.maxHeld,
      maxConnections: gateway.maxConnections,
      maxRequests: gateway.maxRequests,
      drainLingerMs: gateway.drainLinger,
      drainTimeoutMs: gateway.drainTimeout,
      revocationBoundMs: gateway.revocationBound,
      retryFraction: retries.fraction,
      retryWindowMs: retries.window,
    }),
  };
}
