/**
 * Configuration deltas, pushed to subscribers instead of whole configurations.
 *
 * Operators submit the whole configuration for each change, although mostly
 * only one or two rules differ. With many rules and frequent changes, a gateway
 * with a fraction of a CPU core would spend most of its time on decoding
 * configurations.
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

export type ConfigurationSection = (typeof CONFIGURATION_SECTIONS)[number];

/** Any named object of a configuration. */
export interface NamedObject {
  readonly name: string;
}

const names = z.array(z.string()).default([]);

const deltaSchema = z.strictObject({
  /** The revision that the delta applies to. */
  baseRevision: z.number().int().min(0),
  revision: z.number().int().min(0),
  /** Added and changed objects, and all fields beside the lists. */
  put: configurationSchema,
  removed: z.strictObject({
    pools: names,
    selectors: names,
    workspaces: names,
    requestKinds: names,
  }),
});

/** The changes from one configuration to a later one. */
export type ConfigurationDelta = Readonly<z.infer<typeof deltaSchema>>;

/**
 * @param before an object of one configuration
 * @param after an object of another
 * @returns true when both have the same content
 */
export function isSameObject(before: NamedObject, after: NamedObject): boolean {
  return before === after || JSON.stringify(before) === JSON.stringify(after);
}

/**
 * Reuses the unchanged objects of the previous configuration, so that retained
 * revisions share them and comparing two revisions is fast.
 *
 * @param before the current configuration
 * @param after the next configuration
 * @returns the next configuration, with the unchanged objects of `before`
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
 * @param base the receiver's configuration
 * @param next a later configuration
 * @returns the delta; undefined when the order of objects has changed, which a
 *     delta can't express
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
 * @param base the current configuration
 * @param delta a delta
 * @returns the later configuration; undefined when the delta is for another
 *     base revision
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
 * @param delta a delta
 * @returns the delta as JSON in UTF-8, compressed by gzip when it is long
 */
export function encodeDelta(delta: ConfigurationDelta): Uint8Array {
  return packText(JSON.stringify(delta));
}

/**
 * @param bytes the result of {@link encodeDelta}, perhaps of another version of
 *     the program
 * @returns the delta, or undefined when the bytes can't be decoded
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

/** Changed objects keep their positions; new objects are appended. */
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
