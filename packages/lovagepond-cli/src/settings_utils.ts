/**
 * Helpers that convert values of a settings file to settings of a role.
 */
import {formatHostPort, type HostPort} from '@lovagepond/process';

/** The object type with optional properties and without `undefined` values. */
type Defined<Values> = {
  [Key in keyof Values]?: Exclude<Values[Key], undefined>;
};

/**
 * Removes keys that the file doesn't set, so that the defaults of the role's
 * package apply. Defaults are defined only there.
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
 * @param addresses the addresses from the settings file
 * @param port port that replaces the port of each address; undefined keeps them
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
 * @param addresses the addresses to format
 * @returns each address as `host:port`
 */
export function formatAddresses(addresses: readonly HostPort[]): string[] {
  return addresses.map(formatHostPort);
}
