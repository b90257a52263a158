/**
 * The configuration that `standalone` installs at its first start.
 */
import {type ConfigurationContent, configurationSchema} from '@lovagepond/core';

/** A pool of engines for chats and one of services for non-repeatable calls. */
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
