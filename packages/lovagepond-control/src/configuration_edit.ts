/**
 * Edits of a configuration, and the differences between two configurations.
 */
import {
  CONFIGURATION_SECTIONS,
  type ConfigurationContent,
  type ConfigurationSection,
  isSameObject,
  type NamedObject,
} from '@lovagepond/core';
import {type ConfigurationDifference} from './control_administration.js';

/** A change as logged: validated, with defaults filled in. */
export type ConfigurationEdit =
  | {readonly kind: 'replace'; readonly content: ConfigurationContent}
  | {
      readonly kind: 'put';
      readonly section: ConfigurationSection;
      readonly object: NamedObject;
    }
  | {
      readonly kind: 'delete';
      readonly section: ConfigurationSection;
      readonly name: string;
    }
  | {readonly kind: 'restore'; readonly revision: number};

/** Finds the content of a retained revision. */
export type FindRevision = (
  revision: number,
) => ConfigurationContent | undefined;

function listSection(
  content: ConfigurationContent,
  section: ConfigurationSection,
): readonly NamedObject[] {
  return content[section];
}

function putObject(
  items: readonly NamedObject[],
  object: NamedObject,
): readonly NamedObject[] {
  const known = items.some(item => item.name === object.name);
  if (!known) return [...items, object];
  return items.map(item => (item.name === object.name ? object : item));
}

const EDITORS: {
  readonly [Kind in ConfigurationEdit['kind']]: (
    edit: Extract<ConfigurationEdit, {kind: Kind}>,
    base: ConfigurationContent,
    findRevision: FindRevision,
  ) => ConfigurationContent | undefined;
} = {
  replace: edit => edit.content,
  put: (edit, base) => ({
    ...base,
    [edit.section]: putObject(listSection(base, edit.section), edit.object),
  }),
  delete: (edit, base) => {
    const items = listSection(base, edit.section);
    const rest = items.filter(item => item.name !== edit.name);
    if (rest.length === items.length) return undefined;
    return {...base, [edit.section]: rest};
  },
  restore: (edit, _base, findRevision) => findRevision(edit.revision),
};

/**
 * @param edit the edit
 * @param base the content to edit
 * @param findRevision finds retained contents, for a restore
 * @returns the edited content, or undefined when the object to delete or the
 *     revision to restore doesn't exist
 */
export function editConfiguration(
  edit: ConfigurationEdit,
  base: ConfigurationContent,
  findRevision: FindRevision,
): ConfigurationContent | undefined {
  return EDITORS[edit.kind](edit as never, base, findRevision);
}

function diffSection(
  section: string,
  before: readonly NamedObject[],
  after: readonly NamedObject[],
): ConfigurationDifference[] {
  if (before === after) return [];
  const former = new Map(before.map(item => [item.name, item]));
  const differences: ConfigurationDifference[] = [];
  for (const item of after) {
    const place = `${section}/${item.name}`;
    const old = former.get(item.name);
    former.delete(item.name);
    if (!old) {
      differences.push({place, kind: 'added', after: item});
    } else if (!isSameObject(old, item)) {
      differences.push({place, kind: 'changed', before: old, after: item});
    }
  }
  for (const [name, old] of former) {
    const place = `${section}/${name}`;
    differences.push({place, kind: 'removed', before: old});
  }
  return differences;
}

/**
 * @param before the older content
 * @param after the newer content
 * @returns every named object that was added, removed or changed
 */
export function diffConfigurations(
  before: ConfigurationContent,
  after: ConfigurationContent,
): ConfigurationDifference[] {
  return CONFIGURATION_SECTIONS.flatMap(section =>
    diffSection(
      section,
      listSection(before, section),
      listSection(after, section),
    ),
  );
}
