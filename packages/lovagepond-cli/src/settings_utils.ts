/**
 * Helpers that turn a file's values into a role's settings.
 */
import {formatHostPort, type HostPort} from '@lovagepond/process';

/** The same object type with each `undefined` taken out of its values. */
type Defined<Values> = {
  [Key in keyof Values]?: Exclude<Values[Key], undefined>;
};

/**
 * Leaves out what the file doesn't set, so that a package's own default, the
 * only place where it is written down, stays in force.
 *
 * @param values settings, `undefined` where the file sets none
 * @returns the settings that the file sets
 */
export function keepDefined<Values extends object>(
  values: Values,
): Defined<Values> {
  const entries = Object.entries(values).filter(
    ([, value]) => value !== undefined,
  );
  return Object.fromEntries(entries) as Defined<Values>;
}

/**
 * @param addresses addresses
 * @param port a port to reach all of them under, when it isn't their own
 * @returns the addresses to use
 */
export function withPort(
  addresses: readonly HostPort[],
  port: number | undefined,
): readonly HostPort[] {
  if (port === undefined) return addresses;
  return addresses.map(({host}) => ({host, port}));
}

/**
 * @param addresses addresses
 * @returns each as `host:port`
 */
export function formatAddresses(addresses: readonly HostPort[]): string[] {
  return addresses.map(formatHostPort);
}
