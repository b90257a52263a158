/**
 * Compares two configurations and names each place at which they differ.
 */
import {type ConfigurationContent} from '@lovagepond/core';
import {type ConfigurationDifference} from './operator_administration.js';

interface NamedObject {
  readonly name: string;
}

/** The sections of a configuration; each is a list of named objects. */
export const CONFIGURATION_SECTIONS = [
  'pools',
  'selectors',
  'workspaces',
  'requestKinds',
] as const;

/** One of {@link CONFIGURATION_SECTIONS}. */
export type ConfigurationSection = (typeof CONFIGURATION_SECTIONS)[number];

function isSame(before: unknown, after: unknown): boolean {
  return JSON.stringify(before) === JSON.stringify(after);
}

function compareFields(
  place: string,
  before: NamedObject,
  after: NamedObject,
): ConfigurationDifference[] {
  const former = new Map<string, unknown>(Object.entries(before));
  const latter = new Map<string, unknown>(Object.entries(after));
  const fields = new Set([...former.keys(), ...latter.keys()]);
  return [...fields]
    .filter(field => !isSame(former.get(field), latter.get(field)))
    .map(field => ({
      place: `${place}.${field}`,
      before: former.get(field),
      after: latter.get(field),
    }));
}

function compareSection(
  section: ConfigurationSection,
  before: readonly NamedObject[],
  after: readonly NamedObject[],
): ConfigurationDifference[] {
  const former = new Map(before.map(item => [item.name, item]));
  const latter = new Map(after.map(item => [item.name, item]));
  const names = new Set([...former.keys(), ...latter.keys()]);
  return [...names].flatMap(name => {
    const place = `${section}[${name}]`;
    const left = former.get(name);
    const right = latter.get(name);
    if (left && right) return compareFields(place, left, right);
    return [{place, before: left, after: right}];
  });
}

/**
 * @param before the older configuration
 * @param after the newer one
 * @returns each place that differs, in the order of the sections
 */
export function compareConfigurations(
  before: ConfigurationContent,
  after: ConfigurationContent,
): ConfigurationDifference[] {
  return CONFIGURATION_SECTIONS.flatMap(section =>
    compareSection(section, before[section], after[section]),
  );
}
