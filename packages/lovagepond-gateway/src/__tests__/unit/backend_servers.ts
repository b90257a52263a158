/**
 * Backend servers without a sidecar, as control lists them.
 */
import {type BackendServer, SERVER_STATE} from '@lovagepond/core';

/**
 * @param name its name, incarnation and place
 * @param other properties that differ from a ready engine of the pool `p`
 * @returns the server
 */
export function makeBackendServer(
  name: string,
  other: Partial<BackendServer> = {},
): BackendServer {
  return {
    name,
    incarnation: name,
    pool: 'p',
    labels: {},
    availabilityZone: 'a',
    region: 'r',
    address: `${name.replace(/\W/g, '-')}:1`,
    state: SERVER_STATE.READY,
    capacityTokens: 0,
    models: [],
    slot: 0,
    directSlots: 64,
    place: name,
    ...other,
  };
}
