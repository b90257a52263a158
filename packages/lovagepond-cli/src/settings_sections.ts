/**
 * Sections that the settings files of all roles share.
 */
import {
  duration,
  filledText,
  hostPort,
  integer,
  list,
  nameText,
  oneOf,
  type ProcessSettings,
  withTraits,
} from '@lovagepond/process';
import {z} from '@lovagepond/core';
import {ROLE_NAMES} from './cli_constants.js';

const MAX_PORT = 65_535;
const MAX_SEED = 2 ** 31 - 1;

/** `[process]`: identity and location of the process. */
const processSection = z.strictObject({
  role: oneOf(...ROLE_NAMES),
  name: nameText(),
  region: nameText(),
  availabilityZone: nameText(),
  /** Seed of the random numbers; derived from the clock by default. */
  seed: integer(0, MAX_SEED).optional(),
});

/** `[platform]`: platform endpoint, logging, draining and data folder. */
const platformSection = z.strictObject({
  address: withTraits(hostPort(), {listens: true}),
  logLevel: withTraits(
    oneOf('debug', 'info', 'warn', 'error').prefault('info'),
    {reloadable: true},
  ),
  announceDelay: withTraits(duration().prefault('2s'), {reloadable: true}),
  drainLimit: withTraits(duration().prefault('30s'), {reloadable: true}),
  /**
   * Part of the drain limit that the process keeps for its own exit. A service
   * manager that kills it at the drain limit would otherwise be first.
   */
  exitMargin: withTraits(duration().prefault('0ms'), {reloadable: true}),
  dataFolder: withTraits(filledText(), {owned: true}),
});

/** `[control]` of routers, sidecars and gateways: addresses of control. */
export const controlMembersSection = z.strictObject({
  members: list(hostPort()),
  /** Replaces the ports in `members`. */
  memberPort: integer(1, MAX_PORT).optional(),
  /** Time without an update or heartbeat before another member is tried. */
  silentAfter: duration().optional(),
  /** Delay between two connection attempts to control. */
  retry: duration().optional(),
});

/** `[labels]`: arbitrary keys. */
export const labelsSection = z.record(z.string(), z.string());

/** The sections that all roles share. */
export const COMMON_SECTIONS = {
  process: processSection,
  platform: platformSection,
} as const;

/** Values of `[platform]`. */
export type PlatformValues = z.infer<typeof platformSection>;

/** Values of `[process]`. */
export type ProcessValues = z.infer<typeof processSection>;

/**
 * @param platform values of `[platform]`
 * @returns the settings of the process runner
 */
export function toProcessSettings(platform: PlatformValues): ProcessSettings {
  return {
    address: platform.address,
    dataFolder: platform.dataFolder,
    announceDelayMs: platform.announceDelay,
    drainLimitMs: Math.max(0, platform.drainLimit - platform.exitMargin),
  };
}
