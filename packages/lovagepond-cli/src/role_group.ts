/**
 * Runs several roles as one.
 */
import {
  type Clock,
  type DrainResult,
  type Role,
  type StateDump,
  sumDrainResults,
} from '@lovagepond/core';

/** A role with its name in the state dump. */
export interface NamedRole {
  readonly name: string;
  readonly role: Role;
}

/** Roles that can start, drain and stop at the same time. */
export type RoleLayer = readonly NamedRole[];

/** Starts layers of roles in order; drains and stops them in reverse order. */
export class RoleGroup implements Role {
  readonly #layers: readonly RoleLayer[];
  readonly #clock: Clock;

  /**
   * @param layers the roles, each layer after the layers that it depends on
   * @param clock measures the time limit of the whole drain
   */
  constructor(layers: readonly RoleLayer[], clock: Clock) {
    this.#layers = layers;
    this.#clock = clock;
  }

  async start(): Promise<void> {
    for (const layer of this.#layers) {
      await Promise.all(layer.map(({role}) => role.start()));
    }
  }

  isReady(): boolean {
    return this.#layers.flat().every(({role}) => role.isReady());
  }

  /** Routers drain before the sidecars that run their requests. */
  async drain(limitMs: number): Promise<DrainResult> {
    const deadline = this.#clock.now() + limitMs;
    const results: DrainResult[] = [];
    for (const layer of this.#layers.toReversed()) {
      const remainingMs = Math.max(0, deadline - this.#clock.now());
      const layerResults = layer.map(({role}) => role.drain(remainingMs));
      results.push(...(await Promise.all(layerResults)));
    }
    return sumDrainResults(results);
  }

  async stop(): Promise<void> {
    for (const layer of this.#layers.toReversed()) {
      await Promise.all(layer.map(({role}) => role.stop()));
    }
  }

  dump(): StateDump {
    const dumps = this.#layers
      .flat()
      .map(({name, role}) => [name, role.dump()] as const);
    return {version: 1, role: 'standalone', state: Object.fromEntries(dumps)};
  }
}
