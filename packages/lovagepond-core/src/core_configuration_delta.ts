/**
 * What changes between two configurations, to be pushed in place of the whole.
 *
 * Operators send all of a configuration for each change of it. Where it has many
 * rules, and changes come in quick succession, gateways with a part of a core would do
 * little else than decode it. What has changed is mostly a rule or two.
 */
import {z} from './core_schema.js';
import {
  type Configuration,
  type ConfigurationContent,
  configurationSchema,
} from './core_configuration.js';
import {packText, unpackText} from './core_packing.js';

/** The lists of named objects in a configuration. */
export const CONFIGURATION_SECTIONS = [
  'pools',
  'selectors',
  'workspaces',
  'requestKinds',
] as const;

/** One of the values of {@link CONFIGURATION_SECTIONS}. */
export type ConfigurationSection = (typeof CONFIGURATION_SECTIONS)[number];

/** Any named object of a configuration. */
export interface NamedObject {
  readonly name: string;
}

const names = z.array(z.string()).default([]);

const deltaSchema = z.strictObject({
  /** The revision that it applies to. */
  baseRevision: z.number().int().min(0),
  revision: z.number().int().min(0),
  /** Objects that are new or other, and all that stands beside the lists. */
  put: configurationSchema,
  removed: z.strictObject({
    pools: names,
    selectors: names,
    workspaces: names,
    requestKinds: names,
  }),
});

/** What turns one configuration into a later one. */
export type ConfigurationDelta = Readonly<z.infer<typeof deltaSchema>>;

/**
 * @param before an object of one configuration
 * @param after an object of another
 * @returns true when they say the same
 */
export function isSameObject(before: NamedObject, after: NamedObject): boolean {
  return before === after || JSON.stringify(before) === JSON.stringify(after);
}

/**
 * Takes the objects that haven't changed over from the configuration before, so
 * that the revisions that are kept share them, and comparing them is quick.
 *
 * @param before the configuration in force
 * @param after the next one
 * @returns the next one, made of the objects of the one before where it can be
 */
export function shareObjects(
  before: ConfigurationContent,
  after: ConfigurationContent,
): ConfigurationContent {
  const shared = CONFIGURATION_SECTIONS.map(section => {
    const known = indexByName(before[section]);
    const objects = after[section].map((object: NamedObject) => {
      const former = known.get(object.name);
      return former && isSameObject(former, object) ? former : object;
    });
    return [section, objects];
  });
  return {...after, ...(Object.fromEntries(shared) as object)};
}

/**
 * @param base the configuration that the receiver holds
 * @param next a later one
 * @returns the difference; undefined when it can't be told, as objects have
 *     changed places
 */
export function makeDelta(
  base: Configuration,
  next: Configuration,
): ConfigurationDelta | undefined {
  const put: Record<string, unknown> = {...next.content};
  const removed: Record<string, string[]> = {};
  for (const section of CONFIGURATION_SECTIONS) {
    const before: readonly NamedObject[] = base.content[section];
    const after: readonly NamedObject[] = next.content[section];
    const known = indexByName(before);
    const remaining = indexByName(after);
    const changed = after.filter(object => {
      const former = known.get(object.name);
      return !former || !isSameObject(former, object);
    });
    const gone = before.filter(({name}) => !remaining.has(name));
    put[section] = changed;
    removed[section] = gone.map(({name}) => name);
    const applied = applySection(before, changed, removed[section]);
    const isReproduced =
      applied.length === after.length &&
      applied.every(({name}, at) => name === after[at]?.name);
    if (!isReproduced) return undefined;
  }
  return {
    baseRevision: base.revision,
    revision: next.revision,
    put: put as ConfigurationContent,
    removed: removed as ConfigurationDelta['removed'],
  };
}

/**
 * @param base the configuration held
 * @param delta a difference
 * @returns the later configuration; undefined when it applies to another one
 */
export function applyDelta(
  base: Configuration,
  delta: ConfigurationDelta,
): Configuration | undefined {
  const {baseRevision, revision, put, removed} = delta;
  if (base.revision !== baseRevision) return undefined;
  const sections = CONFIGURATION_SECTIONS.map(section => [
    section,
    applySection(base.content[section], put[section], removed[section]),
  ]);
  const content = {...put, ...(Object.fromEntries(sections) as object)};
  return Object.freeze({revision, content});
}

/**
 * @param delta a difference
 * @returns its JSON as UTF-8 bytes, packed by gzip when it is long
 */
export function encodeDelta(delta: ConfigurationDelta): Uint8Array {
  return packText(JSON.stringify(delta));
}

/**
 * @param bytes what {@link encodeDelta} made, perhaps by another version of the
 *     program
 * @returns the difference, or undefined when it can't be read
 */
export function decodeDelta(bytes: Uint8Array): ConfigurationDelta | undefined {
  try {
    const parsed = deltaSchema.safeParse(JSON.parse(unpackText(bytes)));
    return parsed.success ? parsed.data : undefined;
  } catch {
    return undefined;
  }
}

function indexByName(
  objects: readonly NamedObject[],
): ReadonlyMap<string, NamedObject> {
  return new Map(objects.map(object => [object.name, object]));
}

/** What changed keeps its place, what is new comes last. */
function applySection(
  before: readonly NamedObject[],
  put: readonly NamedObject[],
  removed: readonly string[],
): readonly NamedObject[] {
  const gone = new Set(removed);
  const changed = new Map(put.map(object => [object.name, object]));
  const result: NamedObject[] = [];
  for (const object of before) {
    if (gone.has(object.name)) continue;
    result.push(changed.get(object.name) ?? object);
    changed.delete(object.name);
  }
  return [...result, ...changed.values()];
}
