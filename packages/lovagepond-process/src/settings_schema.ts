/**
 * Schemas of settings files: sections of keys, each with a schema and traits.
 */
import {z} from '@lovagepond/core';

/** Properties of one key, for the validation and the reload. */
export interface KeyTraits {
  /** The process listens on this address, so no other process may. */
  readonly listens?: boolean;
  /** The process writes to this folder, so no other process may use it. */
  readonly owned?: boolean;
  /** A reload applies a new value without a restart. */
  readonly reloadable?: boolean;
}

/** Schema of one section; unknown keys are faults. */
export type SectionSchema = z.ZodType<object>;

/** Schema of a whole file: section name to section. */
export type FileSchema = Readonly<Record<string, SectionSchema>>;

/** The validated values of a file. */
export type FileValues<Schema extends FileSchema> = {
  readonly [Section in keyof Schema]: z.infer<Schema[Section]>;
};

const traitsRegistry = z.registry<KeyTraits>();

/**
 * @param schema the key's schema, with its default if it has one
 * @param traits the key's traits
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
 * @returns the section's keys; none when the section allows any key
 */
export function keysOf(section: SectionSchema): readonly string[] {
  return section instanceof z.ZodObject ? Object.keys(section.shape) : [];
}
