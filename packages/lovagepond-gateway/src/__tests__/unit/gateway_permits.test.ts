import * as fc from 'fast-check';
import {Random} from '@lovagepond/core';
import {loadKeyHasher} from '@lovagepond/router/rendezvous_hash';
import {describe, expect, it} from 'vitest';
import {decodeDatagram} from '../../gateway_peer_datagrams.js';
import {PermitIssuer} from '../../gateway_permit_issuer.js';
import {PermitNetwork} from './permit_network.js';

const hasher = await loadKeyHasher();

/** Time after which an issuer counts only what it was told, milliseconds. */
const SETTLED_MS = 600;

describe('permits', () => {
  // Guards against gateways that take the same room of a server at once.
  it('are granted up to the limit, whichever gateways ask', () => {
    const network = new PermitNetwork(hasher, {gateways: 30});
    const asked = network.names.map(name => network.acquire(name, 's', 5));
    expect(asked.filter(({granted}) => granted)).toHaveLength(5);
    expect(asked.at(-1)).toEqual({granted: false, load: 5});
  });

  it('are granted again once they are given back', () => {
    const network = new PermitNetwork(hasher, {gateways: 10});
    for (const name of network.names) network.acquire(name, 's', 10);
    expect(network.acquire('g0', 's', 10).granted).toBe(false);
    network.at('g4').release('s', network.now);
    network.run(5);
    expect(network.acquire('g0', 's', 10).granted).toBe(true);
  });

  it('cost three datagrams, whatever the number of gateways', () => {
    for (const gateways of [3, 30, 370]) {
      const network = new PermitNetwork(hasher, {gateways});
      const asking = network.issuersOf('s')[1] ?? '';
      expect(network.acquire(asking, 's', 1).granted).toBe(true);
      network.at(asking).release('s', network.now);
      expect(network.sent).toBe(3);
    }
  });

  // Guards against requests of a killed gateway that count for good.
  it('of a killed gateway are free again after some seconds', () => {
    const network = new PermitNetwork(hasher, {gateways: 10});
    const [issuer, other] = network.issuersOf('s');
    network.acquire(other ?? '', 's', 1);
    network.kill(other ?? '');
    network.run(2_000);
    expect(network.acquire(issuer ?? '', 's', 1).granted).toBe(false);
    network.run(2_000);
    expect(network.acquire(issuer ?? '', 's', 1).granted).toBe(true);
  });

  // Guards against an issuer that starts anew and takes all servers for idle.
  it('are not granted anew by an issuer that has restarted', () => {
    const network = new PermitNetwork(hasher, {gateways: 10});
    const [issuer = '', ...others] = network.issuersOf('s');
    for (const name of others) network.acquire(name, 's', 9);
    network.reported.set('s', 9);
    network.start(issuer);
    expect(network.acquire(others[0] ?? '', 's', 9).granted).toBe(false);
    network.reported.clear();
    network.run(1_500);
    expect(network.acquire(others[1] ?? '', 's', 9).granted).toBe(false);
  });

  it('are issued by the next gateway when the first one is silent', () => {
    const network = new PermitNetwork(hasher, {gateways: 10});
    const [issuer = '', ...others] = network.issuersOf('s');
    for (const name of others) network.acquire(name, 's', 8);
    network.run(SETTLED_MS);
    network.kill(issuer);
    network.reported.set('s', 8);
    for (const name of others) {
      expect(network.acquire(name, 's', 8).granted).toBe(false);
    }
    // The next issuer has been told by all of them.
    network.run(200);
    network.reported.clear();
    expect(network.acquire(others[3] ?? '', 's', 8).granted).toBe(false);
    network.start(issuer);
    network.run(5_000);
    expect(network.acquire(others[4] ?? '', 's', 8).granted).toBe(false);
  });

  it('are decided by a gateway that reaches no other one', () => {
    const network = new PermitNetwork(hasher, {gateways: 10, loss: 1});
    network.reported.set('s', 2);
    const name = network.issuersOf('s')[5] ?? '';
    expect(network.acquire(name, 's', 3)).toEqual({
      granted: true,
      load: 3,
      isAlone: true,
    });
    expect(network.at(name).describe().decisions.unanswered).toBe(1);
  });

  // A second wait for each request would make all of them late.
  it('are not asked of a silent gateway with each request', () => {
    const network = new PermitNetwork(hasher, {gateways: 10, loss: 1});
    const name = network.issuersOf('s')[5] ?? '';
    network.acquire(name, 's', 3);
    const before = network.now;
    for (let nth = 0; nth < 6; nth += 1) network.acquire(name, 't', 9);
    for (let nth = 0; nth < 6; nth += 1) network.acquire(name, 's', 9);
    expect(network.now - before).toBeLessThan(200);
  });

  // Each gateway's requests at one server; a permit is held for up to 300 ms.
  it.each([1, 2, 3, 4, 5])(
    'keep to the limit while datagrams are late and out of order, seed %i',
    seed => {
      const network = new PermitNetwork(hasher, {
        gateways: 12,
        delayMs: 8,
        seed,
      });
      const random = new Random(seed);
      const limit = 6;
      let held = 0;
      let most = 0;
      let granted = 0;
      const ends: {at: number; name: string}[] = [];
      while (network.now < 6_000) {
        for (const end of ends.filter(({at}) => at <= network.now)) {
          ends.splice(ends.indexOf(end), 1);
          network.at(end.name).release('s', network.now);
          held -= 1;
        }
        const name = random.pick(network.names);
        network.at(name).acquire('s', limit, network.now, (decision, now) => {
          if (!decision.granted) return;
          granted += 1;
          held += 1;
          most = Math.max(most, held);
          ends.push({at: now + random.below(300), name});
        });
        network.run(1 + random.below(10));
      }
      expect(most).toBe(limit);
      expect(granted).toBeGreaterThan(150);
    },
  );

  it('survive datagrams with any bytes', () => {
    const network = new PermitNetwork(hasher, {gateways: 3});
    fc.assert(
      fc.property(fc.uint8Array({maxLength: 200}), bytes => {
        const datagram = decodeDatagram(bytes);
        if (datagram) network.at('g0').receive(datagram, 'g1', 0);
      }),
    );
  });
});

describe('an issuer of permits', () => {
  const server = {low: 1, high: 2};
  const view = {reportedLoad: 0, isFirst: true};

  it('ignores a number that a later one has overtaken', () => {
    const issuer = new PermitIssuer();
    issuer.tell('a', {server, sequence: 8, held: 0, limit: 0}, 0);
    issuer.tell('a', {server, sequence: 7, held: 4, limit: 0}, 1);
    const req = {server, sequence: 1, held: 0, limit: 1};
    expect(issuer.decide('b', req, view, SETTLED_MS).granted).toBe(true);
  });

  it('counts a request once that a later one has overtaken', () => {
    const issuer = new PermitIssuer();
    const later = {server, sequence: 8, held: 1, limit: 9};
    expect(issuer.decide('a', later, view, 0).load).toBe(2);
    const earlier = {server, sequence: 7, held: 0, limit: 9};
    expect(issuer.decide('a', earlier, view, 1).load).toBe(2);
    const denied = {server, sequence: 6, held: 0, limit: 1};
    expect(issuer.decide('a', denied, view, 2).granted).toBe(false);
  });

  it('takes the number of a gateway that has started again', () => {
    const issuer = new PermitIssuer();
    issuer.tell('a', {server, sequence: 2 ** 31, held: 5, limit: 0}, 0);
    issuer.tell('a', {server, sequence: 12, held: 0, limit: 0}, 1);
    const req = {server, sequence: 1, held: 0, limit: 1};
    expect(issuer.decide('b', req, view, SETTLED_MS).granted).toBe(true);
  });

  it('forgets servers without requests', () => {
    const issuer = new PermitIssuer();
    issuer.tell('a', {server, sequence: 1, held: 1, limit: 0}, 0);
    issuer.expire(2_000);
    expect(issuer.size).toBe(1);
    issuer.expire(4_000);
    expect(issuer.size).toBe(0);
  });
});
