/**
 * Takes configurations in from control and from routers, and puts the newest
 * in force at the gate.
 */
import {
  decodeConfiguration,
  encodeConfiguration,
  type Logger,
} from '@lovagepond/core';
import {type lovagepond} from '@lovagepond/protocol';
import {type SidecarGate} from './sidecar_gate.js';
import {readGatePolicy} from './sidecar_policy.js';
import {SidecarRevisions} from './sidecar_revisions.js';
import {ISLAND_POLICY, type SidecarSettings} from './sidecar_settings.js';

const NO_BYTES = new Uint8Array();

/** What configurations are put in force at. */
export interface ConfigurationParts {
  readonly gate: SidecarGate;
  readonly log: Logger;
  /** Tells control which revision is in force here. */
  report(revision: number): void;
}

/** The configuration in force at one sidecar. */
export class SidecarConfiguration {
  readonly #pool: string;
  readonly #parts: ConfigurationParts;
  readonly #revisions: SidecarRevisions;
  /** The configuration as it travels, made once per revision. */
  #encoded: Uint8Array = NO_BYTES;

  constructor(settings: SidecarSettings, parts: ConfigurationParts) {
    this.#pool = settings.pool;
    this.#parts = parts;
    this.#revisions = new SidecarRevisions({
      serveUnconfirmed: settings.islandPolicy === ISLAND_POLICY.SERVE,
    });
  }

  /** @returns the revision in force */
  get revision(): number {
    return this.#revisions.revision;
  }

  /** @returns true when work may be taken by it */
  mayServe(): boolean {
    return this.#revisions.mayServe();
  }

  /** @param update what control pushed */
  receive(update: lovagepond.v1.ConfigurationUpdate.$Properties): void {
    const {configuration, majorityConfirmed, revision} = update;
    if (configuration && configuration.length > 0) this.install(configuration);
    if (majorityConfirmed) this.#revisions.confirm(revision ?? 0);
  }

  /** @param bytes a configuration from control or from a router */
  install(bytes: Uint8Array): void {
    const configuration = decodeConfiguration(bytes);
    if (!configuration) {
      this.#parts.log.error('a configuration could not be read');
      return;
    }
    if (!this.#revisions.install(configuration)) return;
    const {revision, content} = configuration;
    this.#encoded = encodeConfiguration(configuration);
    this.#parts.gate.configure(readGatePolicy(content, this.#pool), revision);
    this.#parts.log.info('configuration installed', {revision});
    this.#parts.report(revision);
  }

  /**
   * @param revision a router's revision
   * @returns our configuration when it is newer, else no bytes
   */
  newerThan(revision: number): Uint8Array {
    return this.revision > revision ? this.#encoded : NO_BYTES;
  }
}
