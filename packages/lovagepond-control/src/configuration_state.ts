/**
 * The replicated configuration: its current revision and the history.
 */
import {
  type Configuration,
  type ConfigurationContent,
  EMPTY_CONFIGURATION,
  Published,
  shareObjects,
} from '@lovagepond/core';
import {
  type ConfigurationDifference,
  type HistoryEntry,
} from './control_administration.js';
import {
  type ChangePayload,
  type CommandStamp,
  type InstallPayload,
} from './control_commands.js';
import {
  type ConfigurationEdit,
  diffConfigurations,
  editConfiguration,
} from './configuration_edit.js';
import {type OperationResult} from './operation_results.js';

/** Limit of history entries; only the latest ones retain their content. */
const MAX_HISTORY_ENTRIES = 1_000;

interface RevisionRecord {
  readonly revision: number;
  readonly operationId: string;
  readonly acceptedAt: number;
  readonly changed: readonly string[];
}

export interface ConfigurationSnapshot {
  readonly current: Configuration;
  readonly history: readonly RevisionRecord[];
  readonly contents: readonly Configuration[];
  readonly document?: ConfigurationDocument;
}

/** The latest configuration as the operators' own system sent it. */
export interface ConfigurationDocument {
  readonly version: number;
  readonly source: string;
}

/** Revisions of the configuration. Part of the replicated state. */
export class ConfigurationState {
  /** The configuration in force; listeners are called at each change. */
  readonly current = new Published<Configuration>({...EMPTY_CONFIGURATION});
  readonly #readHistoryLimit: () => number;
  #history: RevisionRecord[] = [];
  readonly #contents = new Map<number, ConfigurationContent>();
  #document: ConfigurationDocument | undefined;

  /** @param readHistoryLimit reads how many revisions retain their content */
  constructor(readHistoryLimit: () => number) {
    this.#readHistoryLimit = readHistoryLimit;
  }

  /**
   * Applies a change under optimistic concurrency control: of changes with the
   * same base revision, the first in the log is accepted, the others conflict.
   *
   * @param payload the change
   * @param stamp the proposer's stamp
   * @returns the result to store under the operation's id
   */
  apply(payload: ChangePayload, stamp: CommandStamp): OperationResult {
    const current = this.current.read();
    const {baseRevision, edit, operationId} = payload;
    if (baseRevision !== current.revision) {
      const currentRevision = current.revision;
      return {kind: 'conflict', baseRevision, currentRevision};
    }
    const content = this.edit(edit);
    if (!content) return {kind: 'missing', place: describeTarget(edit)};
    const revision = this.#addRevision(operationId, content, stamp);
    return {kind: 'accepted', revision};
  }

  /**
   * Installs a complete configuration. The highest version assigned by the
   * operators' own system wins: a retried or outdated install changes nothing.
   *
   * @param payload the configuration, validated by the proposer
   * @param stamp the proposer's stamp
   * @returns the version in force afterwards
   */
  install(payload: InstallPayload, stamp: CommandStamp): number {
    const {version, content, source} = payload;
    const currentVersion = this.#document?.version ?? 0;
    if (version <= currentVersion) return currentVersion;
    this.#document = {version, source};
    const versionedContent = {...content, documentVersion: version};
    this.#addRevision(`document ${version}`, versionedContent, stamp);
    return version;
  }

  /** The latest document of the operators' own system, if any. */
  get document(): ConfigurationDocument | undefined {
    return this.#document;
  }

  /**
   * @param edit an edit of the current revision
   * @returns the edited content, or undefined when the target doesn't exist
   */
  edit(edit: ConfigurationEdit): ConfigurationContent | undefined {
    const {content} = this.current.read();
    return editConfiguration(edit, content, revision => this.find(revision));
  }

  /**
   * @param revision any revision
   * @returns its content, while it is retained
   */
  find(revision: number): ConfigurationContent | undefined {
    if (revision === 0) return EMPTY_CONFIGURATION.content;
    return this.#contents.get(revision);
  }

  /**
   * @param from the older revision
   * @param to the newer revision
   * @returns their differences; empty when either is no longer retained
   */
  differences(from: number, to: number): ConfigurationDifference[] {
    const before = this.find(from);
    const after = this.find(to);
    return before && after ? diffConfigurations(before, after) : [];
  }

  /** @returns accepted revisions, newest first */
  history(): HistoryEntry[] {
    return this.#history
      .map(entry => ({
        ...entry,
        restorable: this.#contents.has(entry.revision),
      }))
      .reverse();
  }

  /** @returns the serialized form */
  snapshot(): ConfigurationSnapshot {
    return {
      current: this.current.read(),
      history: this.#history,
      contents: [...this.#contents].map(([revision, content]) => ({
        revision,
        content,
      })),
      ...(this.#document && {document: this.#document}),
    };
  }

  /** @param snapshot the result of {@link snapshot} */
  restore(snapshot: ConfigurationSnapshot): void {
    this.#history = [...snapshot.history];
    this.#document = snapshot.document;
    this.#contents.clear();
    for (const kept of snapshot.contents) {
      this.#contents.set(kept.revision, kept.content);
    }
    this.current.update(() => snapshot.current);
  }

  #addRevision(
    operationId: string,
    content: ConfigurationContent,
    stamp: CommandStamp,
  ): number {
    const current = this.current.read();
    const revision = current.revision + 1;
    const newContent = shareObjects(current.content, content);
    const differences = diffConfigurations(current.content, newContent);
    this.#history.push({
      revision,
      operationId,
      acceptedAt: stamp.wallTimeMs,
      changed: differences.map(difference => difference.place),
    });
    this.#retainContent(revision, newContent);
    this.current.update(() => ({revision, content: newContent}));
    return revision;
  }

  #retainContent(revision: number, content: ConfigurationContent): void {
    this.#contents.set(revision, content);
    const oldest = revision - this.#readHistoryLimit();
    for (const kept of this.#contents.keys()) {
      if (kept > oldest) break;
      this.#contents.delete(kept);
    }
    if (this.#history.length > MAX_HISTORY_ENTRIES) this.#history.shift();
  }
}

const TARGETS: {
  readonly [Kind in ConfigurationEdit['kind']]: (
    edit: Extract<ConfigurationEdit, {kind: Kind}>,
  ) => string;
} = {
  replace: () => '',
  put: edit => `${edit.section}/${edit.object.name}`,
  delete: edit => `${edit.section}/${edit.name}`,
  restore: edit => `revision ${edit.revision}`,
};

/** @returns the place of the edit's target, for a message */
function describeTarget(edit: ConfigurationEdit): string {
  return TARGETS[edit.kind](edit as never);
}
