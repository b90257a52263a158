/**
 * Settings file of a gateway.
 */
import {type GatewaySettings} from '@lovagepond/gateway';
import {
  decimal,
  duration,
  type FileValues,
  hostPort,
  integer,
  size,
  withTraits,
} from '@lovagepond/process';
import {z} from '@lovagepond/core';
import {COMMON_SECTIONS, controlMembersSection} from './settings_sections.js';
import {formatAddresses, keepDefined, withPort} from './settings_utils.js';

const MAX_COUNT = 1_000_000;

const gatewaySection = z.strictObject({
  listen: withTraits(hostPort(), {listens: true}),
  connectTimeout: duration().optional(),
  /** Prompt tokens that an engine reads in a millisecond. */
  prefillRate: decimal(0.001, MAX_COUNT).optional(),
  maxHeld: size().optional(),
  drainLinger: duration().optional(),
  /** A removed API key admits nothing later than this. */
  revocationBound: duration().optional(),
});

const retriesSection = z.strictObject({
  /** Second tries as a fraction of requests. */
  fraction: decimal(0, 1).optional(),
  window: duration().optional(),
  /** Second tries in a window that all gateways together may make besides. */
  slack: decimal(0, MAX_COUNT).optional(),
  /** Gateways that are taken to share the slack before more are heard of. */
  shares: integer(1, MAX_COUNT).optional(),
});

/** Sections of a gateway's settings file. */
export const GATEWAY_SCHEMA = {
  ...COMMON_SECTIONS,
  control: controlMembersSection,
  gateway: gatewaySection,
  retries: retriesSection,
} as const;

/** Values of a gateway's settings file. */
export type GatewayValues = FileValues<typeof GATEWAY_SCHEMA>;

type FileSettings = Partial<GatewaySettings> &
  Pick<GatewaySettings, 'name' | 'host' | 'port' | 'controlAddresses'>;

/**
 * @param values the checked file
 * @returns settings of the gateway, without those left to its defaults
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
    ...keepDefined({
      controlSilentAfterMs: control.silentAfter,
      controlRetryMs: control.retry,
      connectTimeoutMs: gateway.connectTimeout,
      prefillTokensPerMs: gateway.prefillRate,
      maxHeldBytes: gateway.maxHeld,
      drainLingerMs: gateway.drainLinger,
      revocationBoundMs: gateway.revocationBound,
      retryFraction: retries.fraction,
      retryWindowMs: retries.window,
      retrySlack: retries.slack,
      retryShares: retries.shares,
    }),
  };
}
