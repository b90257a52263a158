/**
 * Whole configurations that the operators' own system numbers.
 *
 * Such a system sends all of a configuration under a rising version, from
 * several places at once, and again after a lost answer. The highest version
 * wins; the replicated state decides, so the order of arrival doesn't matter.
 */
import {checkConfiguration, type ConfigurationFault} from '@lovagepond/core';
import {type RetryableFailure} from './control_administration.js';
import {INSTALL_COMMAND, type InstallPayload} from './control_commands.js';
import {type ConfigurationDocument} from './configuration_state.js';
import {type ControlStateMachine} from './control_state_machine.js';
import {type Proposer} from './proposer.js';

/** Answer to an install. */
export type InstallAnswer =
  /** Committed; `version` is the one in force, which may be a higher one. */
  | {readonly kind: 'accepted'; readonly version: number}
  | {readonly kind: 'invalid'; readonly faults: readonly ConfigurationFault[]}
  | RetryableFailure;

/** Answer to a read. */
export type DocumentAnswer =
  | {
      readonly kind: 'found';
      readonly document: ConfigurationDocument | undefined;
    }
  | Extract<RetryableFailure, {kind: 'notLeader'}>;

/** A numbered configuration, translated but not checked yet. */
export interface OfferedDocument extends ConfigurationDocument {
  readonly content: unknown;
}

/** Installs and reads numbered configurations at one member. */
export class ConfigurationDocuments {
  readonly #machine: ControlStateMachine;
  readonly #proposer: Proposer;

  constructor(machine: ControlStateMachine, proposer: Proposer) {
    this.#machine = machine;
    this.#proposer = proposer;
  }

  /**
   * @param offered the configuration with its version
   * @returns `accepted` once a majority has synced it or a higher one
   */
  async install(offered: OfferedDocument): Promise<InstallAnswer> {
    const check = checkConfiguration(offered.content);
    if (!check.ok) return {kind: 'invalid', faults: check.faults};
    const {version, source} = offered;
    const answer = await this.#proposer.propose<
      InstallPayload,
      {version: number}
    >(INSTALL_COMMAND, {version, source, content: check.content});
    if (answer.kind !== 'committed') return answer;
    return {kind: 'accepted', version: answer.value.version};
  }

  /**
   * @returns the newest document, once a majority has confirmed that this
   *     member holds the newest; an older one must never be read as current
   */
  async read(): Promise<DocumentAnswer> {
    if (!(await this.#proposer.confirm())) {
      return {kind: 'notLeader', leader: this.#proposer.leaderAddress()};
    }
    return {kind: 'found', document: this.#machine.configuration.document};
  }
}
