/**
 * Complete configurations with versions assigned by the operators' own system.
 *
 * That system submits the complete configuration under an increasing version,
 * possibly from several clients at once, and retries when an answer is lost.
 * The replicated state machine keeps the highest version, so the order of
 * arrival doesn't matter.
 */
import {checkConfiguration, type ConfigurationFault} from '@lovagepond/core';
import {type RetryableFailure} from './control_administration.js';
import {INSTALL_COMMAND, type InstallPayload} from './control_commands.js';
import {type ConfigurationDocument} from './configuration_state.js';
import {type ControlStateMachine} from './control_state_machine.js';
import {type Proposer} from './proposer.js';

export type InstallAnswer =
  /** Committed; `version` is in force, maybe higher than the submitted one. */
  | {readonly kind: 'accepted'; readonly version: number}
  | {readonly kind: 'invalid'; readonly faults: readonly ConfigurationFault[]}
  | RetryableFailure;

export type DocumentAnswer =
  | {
      readonly kind: 'found';
      readonly document: ConfigurationDocument | undefined;
    }
  | Extract<RetryableFailure, {kind: 'notLeader'}>;

/** A versioned configuration, translated but not validated yet. */
export interface UncheckedDocument extends ConfigurationDocument {
  readonly content: unknown;
}

/** Installs and reads versioned configurations at one member. */
export class ConfigurationDocuments {
  readonly #machine: ControlStateMachine;
  readonly #proposer: Proposer;

  constructor(machine: ControlStateMachine, proposer: Proposer) {
    this.#machine = machine;
    this.#proposer = proposer;
  }

  /**
   * @param document the configuration with its version
   * @returns `accepted` once a majority has synced this or a higher version
   */
  async install(document: UncheckedDocument): Promise<InstallAnswer> {
    const check = checkConfiguration(document.content);
    if (!check.ok) return {kind: 'invalid', faults: check.faults};
    const {version, source} = document;
    const answer = await this.#proposer.propose<
      InstallPayload,
      {version: number}
    >(INSTALL_COMMAND, {version, source, content: check.content});
    if (answer.kind !== 'committed') return answer;
    return {kind: 'accepted', version: answer.value.version};
  }

  /**
   * Reads behind a barrier, so that no outdated document passes as current.
   *
   * @returns the latest document; `notLeader` when the barrier fails
   */
  async read(): Promise<DocumentAnswer> {
    if (!(await this.#proposer.confirm())) {
      return {kind: 'notLeader', leader: this.#proposer.leaderAddress()};
    }
    return {kind: 'found', document: this.#machine.configuration.document};
  }
}
