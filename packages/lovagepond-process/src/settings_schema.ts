/**
 * How a settings file is described: sections of keys, each key with a schema
 * and what the checker must know of it.
 */
import {z} from '@lovagepond/core';

/** What the checker and the reload know of one key. */
export interface KeyTraits {
  /** The process listens on this address: no other may. */
  readonly listens?: boolean;
  /** The process alone writes to this folder: no other may. */
  readonly owned?: boolean;
  /** A reload by signal takes a new value without a restart. */
  readonly reloadable?: boolean;
}

/** Schema of one section; unknown keys are faults. */
export type SectionSchema = z.ZodType<object>;

/** Schema of a whole file: section name to section. */
export type FileSchema = Readonly<Record<string, SectionSchema>>;

/** The checked values of a file. */
export type FileValues<Schema extends FileSchema> = {
  readonly [Section in keyof Schema]: z.infer<Schema[Section]>;
};

const traitsRegistry = z.registry<KeyTraits>();

/**
 * Marks a key.
 *
 * @param schema the key's schema, with its default if it has one
 * @param traits what the checker must know
 * @returns the same schema
 */
export function withTraits<Schema extends z.ZodType>(
  schema: Schema,
  traits: KeyTraits,
): Schema {
  traitsRegistry.add(schema, traits);
  return schema;
}

/**
 * @param section a section's schema
 * @param key a key of the section
 * @returns the key's traits
 */
export function traitsOf(section: SectionSchema, key: string): KeyTraits {
  if (!(section instanceof z.ZodObject)) return {};
  const shape = section.shape as Readonly<Record<string, z.ZodType>>;
  const schema = shape[key];
  return (schema && traitsRegistry.get(schema)) ?? {};
}

/**
 * @param section a section's schema
 * @returns the keys it knows; none for a section of free keys
 */
export function keysOf(section: SectionSchema): readonly string[] {
  return section instanceof z.ZodObject ? Object.keys(section.shape) : [];
}
