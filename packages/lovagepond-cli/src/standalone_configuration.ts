/**
 * The configuration that `standalone` puts in force at its first start.
 */
import {type ConfigurationContent, configurationSchema} from '@lovagepond/core';

/** One pool of engines for chats, one of services for calls run once. */
export const STANDALONE_CONFIGURATION: ConfigurationContent =
  configurationSchema.parse({
    pools: [
      {name: 'chat-models', kind: 'engine', labels: {purpose: 'chat'}},
      {name: 'checks', kind: 'service', labels: {purpose: 'checks'}},
    ],
    requestKinds: [{name: 'chat'}, {name: 'check', nonRepeatable: true}],
    workspaces: [{name: 'demo'}],
    selectors: [
      {
        name: 'checks',
        workspaces: ['*'],
        requestKinds: ['check'],
        pools: 'purpose=checks',
        priority: 20,
      },
      {
        name: 'chats',
        workspaces: ['*'],
        requestKinds: ['chat'],
        pools: 'purpose=chat',
        priority: 10,
      },
    ],
  });
