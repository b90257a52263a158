/**
 * Runs the whole fleet of `standalone` as one role and installs its first
 * configuration.
 */
import {
  type Clock,
  type DrainResult,
  type Role,
  type StateDump,
} from '@lovagepond/core';
import {type ControlAdministration} from '@lovagepond/control';
import {type StandaloneFleet} from './standalone_fleet.js';

const OPERATION_ID = 'standalone-first-configuration';
const LEADER_TIMEOUT_MS = 10_000;
const RETRY_MS = 50;

/** @returns true once the member has a configuration in force */
async function installFirstConfiguration(
  administration: ControlAdministration,
  content: unknown,
): Promise<boolean> {
  if (administration.getConfiguration().revision > 0) return true;
  const answer = await administration.change({
    operationId: OPERATION_ID,
    baseRevision: 0,
    dryRun: false,
    change: {kind: 'replace', content},
  });
  if (answer.kind !== 'invalid') return answer.kind === 'accepted';
  const faults = answer.faults.map(fault => `${fault.place}: ${fault.message}`);
  throw new Error(`the first configuration is invalid: ${faults.join('; ')}`);
}

/** Starts every role, then installs the first configuration. */
export class StandaloneRole implements Role {
  readonly #fleet: StandaloneFleet;
  readonly #configuration: unknown;
  readonly #clock: Clock;

  /**
   * @param fleet the roles
   * @param configuration the configuration to install at the first start
   * @param clock measures the time limit of the wait for a leader
   */
  constructor(fleet: StandaloneFleet, configuration: unknown, clock: Clock) {
    this.#fleet = fleet;
    this.#configuration = configuration;
    this.#clock = clock;
  }

  async start(): Promise<void> {
    await this.#fleet.group.start();
    const deadline = this.#clock.now() + LEADER_TIMEOUT_MS;
    while (!(await this.#tryInstallConfiguration())) {
      if (this.#clock.now() > deadline) {
        throw new Error(
          'control accepted no configuration in time: it may have no leader',
        );
      }
      await new Promise(resolve => setTimeout(resolve, RETRY_MS));
    }
  }

  isReady(): boolean {
    return this.#fleet.group.isReady();
  }

  drain(limitMs: number): Promise<DrainResult> {
    return this.#fleet.group.drain(limitMs);
  }

  async stop(): Promise<void> {
    await this.#fleet.group.stop();
  }

  dump(): StateDump {
    return this.#fleet.group.dump();
  }

  async #tryInstallConfiguration(): Promise<boolean> {
    for (const {administration} of this.#fleet.members) {
      if (
        await installFirstConfiguration(administration, this.#configuration)
      ) {
        return true;
      }
    }
    return false;
  }
}
