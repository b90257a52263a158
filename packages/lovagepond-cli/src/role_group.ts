/**
 * Several roles run as one.
 */
import {type Clock, type Role, type StateDump} from '@lovagepond/core';

/** A role with the name it has among the others. */
export interface NamedRole {
  readonly name: string;
  readonly role: Role;
}

/** Roles that don't need each other to start or to end. */
export type RoleLayer = readonly NamedRole[];

/** Starts layers of roles in order and ends them in the opposite order. */
export class RoleGroup implements Role {
  readonly #layers: readonly RoleLayer[];
  readonly #clock: Clock;

  /**
   * @param layers the roles, each layer after those that it needs
   * @param clock limits the drain as a whole
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

  /** Routers drain before the sidecars that their requests run at. */
  async drain(limitMs: number): Promise<void> {
    const deadline = this.#clock.now() + limitMs;
    for (const layer of this.#layers.toReversed()) {
      const remainingMs = Math.max(0, deadline - this.#clock.now());
      await Promise.all(layer.map(({role}) => role.drain(remainingMs)));
    }
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
