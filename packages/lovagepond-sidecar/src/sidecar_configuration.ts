/**
 * Receives configurations from control and from routers, and applies the newest
 * to the gate.
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
import {PARTITION_POLICY, type SidecarSettings} from './sidecar_settings.js';

const NO_BYTES = new Uint8Array();

export interface ConfigurationDependencies {
  readonly gate: SidecarGate;
  readonly log: Logger;
  /** Reports to control which revision is in force here. */
  report(revision: number): void;
}

/** The configuration in force at one sidecar. */
export class SidecarConfiguration {
  readonly #pool: string;
  readonly #deps: ConfigurationDependencies;
  readonly #revisions: SidecarRevisions;
  /** The encoded configuration, created once per revision. */
  #encoded: Uint8Array = NO_BYTES;

  constructor(settings: SidecarSettings, deps: ConfigurationDependencies) {
    this.#pool = settings.pool;
    this.#deps = deps;
    this.#revisions = new SidecarRevisions({
      serveUnconfirmed: settings.islandPolicy === PARTITION_POLICY.SERVE,
    });
  }

  /** @returns the revision in force */
  get revision(): number {
    return this.#revisions.revision;
  }

  /** @returns true when requests may be accepted under this configuration */
  mayServe(): boolean {
    return this.#revisions.mayServe();
  }

  /** @param update a configuration update from control */
  receive(update: lovagepond.v1.ConfigurationUpdate.$Properties): void {
    const {configuration, majorityConfirmed, revision} = update;
    if (configuration && configuration.length > 0) this.install(configuration);
    if (majorityConfirmed) this.#revisions.confirm(revision ?? 0);
  }

  /** @param bytes an encoded configuration from control or a router */
  install(bytes: Uint8Array): void {
    const configuration = decodeConfiguration(bytes);
    if (!configuration) {
      this.#deps.log.error('received configuration cannot be decoded');
      return;
    }
    if (!this.#revisions.install(configuration)) return;
    const {revision, content} = configuration;
    this.#encoded = encodeConfiguration(configuration);
    this.#deps.gate.configure(readGatePolicy(content, this.#pool), revision);
    this.#deps.log.info('configuration installed', {revision});
    this.#deps.report(revision);
  }

  /**
   * @param revision a router's revision
   * @returns the encoded configuration in force if it is newer than the
   *     router's, else an empty array
   */
  newerThan(revision: number): Uint8Array {
    return this.revision > revision ? this.#encoded : NO_BYTES;
  }
}
