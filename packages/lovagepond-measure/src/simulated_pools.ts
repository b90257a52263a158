/**
 * The pools of a gateway simulation.
 */
import {configurationSchema, type Pool} from '@lovagepond/core';
import {type GatewaySimulationSettings} from './gateway_simulation_types.js';

export const ENGINES = 'engines';
export const SERVICES = 'services';

/** Time for which a cold engine is listed as warming up, milliseconds. */
export const WARM_UP_MS = 3_000;

/**
 * @param settings the load, and the variant that may have no load bound
 * @returns the pool of engines and that of plain services
 */
export function makePools({
  load,
  variant,
}: Pick<GatewaySimulationSettings, 'load' | 'variant'>): {
  readonly engines: Pool;
  readonly services: Pool;
} {
  const loadBound = variant.noBound ? 16 : load.loadBound;
  const {content} = {
    content: configurationSchema.parse({
      pools: [
        {
          name: ENGINES,
          kind: 'engine',
          loadBound,
          engineSlots: load.engines.slots,
          contextTokens: load.engines.memoryTokens,
          ...(load.coldPerSecond && {
            warmUp: {
              durationMs: WARM_UP_MS,
              maxRequestsPerSecond: load.coldPerSecond,
            },
          }),
          ...(!variant.noFetch && {
            contextFetchTokensPerMs: load.engines.fetchTokensPerMs,
          }),
        },
        {name: SERVICES, kind: 'service', loadBound},
      ],
    }),
  };
  const [engines, services] = content.pools as [Pool, Pool];
  return {engines, services};
}
