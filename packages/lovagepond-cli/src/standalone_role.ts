/**
 * The whole fleet of `standalone` as one role, with a first configuration.
 */
import {type Clock, type Role, type StateDump} from '@lovagepond/core';
import {type ControlAdministration} from '@lovagepond/control';
import {STANDALONE_CONFIGURATION} from './standalone_configuration.js';
import {type StandaloneFleet} from './standalone_fleet.js';

const OPERATION_ID = 'standalone-first-configuration';
const LEADER_LIMIT_MS = 10_000;
const RETRY_MS = 50;

/** Puts the first configuration in force, once control has a leader. */
async function putFirstConfiguration(
  administration: ControlAdministration,
  clock: Clock,
): Promise<void> {
  const deadline = clock.now() + LEADER_LIMIT_MS;
  for (;;) {
    if (administration.getConfiguration().revision > 0) return;
    const answer = await administration.change({
      operationId: OPERATION_ID,
      baseRevision: 0,
      dryRun: false,
      change: {kind: 'replace', content: STANDALONE_CONFIGURATION},
    });
    if (answer.kind === 'accepted') return;
    if (clock.now() > deadline) {
      throw new Error(`the first configuration was not taken: ${answer.kind}`);
    }
    await new Promise(resolve => setTimeout(resolve, RETRY_MS));
  }
}

/** Starts every role, then puts a configuration in force. */
export class StandaloneRole implements Role {
  readonly #fleet: StandaloneFleet;
  readonly #clock: Clock;

  /**
   * @param fleet the roles
   * @param clock limits the wait for a leader
   */
  constructor(fleet: StandaloneFleet, clock: Clock) {
    this.#fleet = fleet;
    this.#clock = clock;
  }

  async start(): Promise<void> {
    const {group, control} = this.#fleet;
    await group.start();
    await putFirstConfiguration(control.administration, this.#clock);
  }

  isReady(): boolean {
    return this.#fleet.group.isReady();
  }

  async drain(limitMs: number): Promise<void> {
    await this.#fleet.group.drain(limitMs);
  }

  async stop(): Promise<void> {
    await this.#fleet.group.stop();
  }

  dump(): StateDump {
    return this.#fleet.group.dump();
  }
}
