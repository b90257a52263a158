import {CONTROL_SERVICE, lovagepond} from '@lovagepond/protocol';
import {expect, test} from 'vitest';
import {ClientPool} from '../../sidecar_client_pool.js';

// Guards against an announced address at which the library throws, which would
// end the sidecar.
test.each(['', '127.0.0.1:70000'])(
  'a call to the address %j gets no answer',
  async address => {
    const clients = new ClientPool(100);
    const req = new lovagepond.v1.AnnounceRequest();
    const answer = await clients.call(address, CONTROL_SERVICE.announce, req);
    expect(answer).toBeUndefined();
    clients.close();
  },
);
