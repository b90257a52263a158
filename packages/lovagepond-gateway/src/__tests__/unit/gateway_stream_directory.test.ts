import * as fc from 'fast-check';
import {Random} from '@lovagepond/core';
import {loadKeyHasher} from '@lovagepond/router/rendezvous_hash';
import {describe, expect, it} from 'vitest';
import {StreamDirectory} from '../../gateway_stream_directory.js';
import {type StreamOrigin} from '../../gateway_stream_origin.js';
import {PeerAddresses} from '../../gateway_peer_addresses.js';
import {decodeDatagram} from '../../gateway_peer_datagrams.js';
import {StreamRecords} from '../../gateway_stream_records.js';

const hasher = await loadKeyHasher();

const ORIGIN: StreamOrigin = {pool: 'p', version: 'v1.1'};
const OTHER: StreamOrigin = {pool: 'p', version: 'v1'};
const SEED = 11;
const TIMEOUT_MS = 5_000;
const LONGEST_LOOKUP_MS = 300;

/** Gateways whose datagrams arrive at once, unless they are lost. */
class Gateways {
  readonly #directories = new Map<string, StreamDirectory>();
  readonly #peers = new Map<string, PeerAddresses>();
  readonly #isLost: (from: string, to: string) => boolean;
  sent = 0;

  constructor(
    names: readonly string[],
    isLost: (from: string, to: string) => boolean = () => false,
  ) {
    this.#isLost = isLost;
    for (const name of names) this.start(name);
    for (const name of names) this.list(name, names);
  }

  /** Starts a gateway, or starts it again without its records. */
  start(name: string): void {
    const peers = new PeerAddresses(name, hasher);
    this.#peers.set(name, peers);
    const send = (address: string, bytes: Uint8Array): void => {
      this.#deliver(name, address, bytes);
    };
    this.#directories.set(name, new StreamDirectory({hasher, peers, send}));
  }

  /** Tells a gateway the list of all of them. */
  list(name: string, names: readonly string[], now = 0): void {
    const peers = names.map(node => ({node, address: `${node}:1`}));
    this.#peers.get(name)?.apply({whole: true, peers}, now);
  }

  kill(name: string): void {
    this.#directories.delete(name);
  }

  at(name: string): StreamDirectory {
    const directory = this.#directories.get(name);
    if (!directory) throw new Error(`${name} isn't running`);
    return directory;
  }

  begin(name: string, id: string, origin = ORIGIN, now = 0): void {
    const directory = this.at(name);
    directory.record(directory.keyOf('nord', id), origin, TIMEOUT_MS, now);
  }

  /** @returns the origin, and the time that the lookup took */
  find(
    name: string,
    id: string,
    now = 10,
  ): {origin: StreamOrigin | undefined; tookMs: number} {
    const directory = this.at(name);
    let found: {origin: StreamOrigin | undefined} | undefined;
    directory.find(directory.keyOf('nord', id), now, origin => {
      expect(found).toBeUndefined();
      found = {origin};
    });
    let tookMs = 0;
    while (!found && tookMs <= LONGEST_LOOKUP_MS) {
      tookMs += 10;
      directory.tick(now + tookMs);
    }
    if (!found) throw new Error('the lookup has no end');
    return {...found, tookMs};
  }

  #deliver(from: string, address: string, bytes: Uint8Array): void {
    const to = address.split(':')[0] ?? '';
    this.sent += 1;
    if (this.#isLost(from, to)) return;
    const datagram = decodeDatagram(bytes);
    if (!datagram) throw new Error('a gateway sent what none can read');
    this.#directories.get(to)?.receive(datagram, `${from}:1`, 10);
  }
}

function namesOf(count: number): string[] {
  return Array.from({length: count}, (_, at) => `g${at}`);
}

const NAMES = namesOf(20);

describe('the origin of a stream', () => {
  it('is found at each gateway after the first one was killed', () => {
    const gateways = new Gateways(NAMES);
    for (let nth = 0; nth < 20; nth += 1) gateways.begin('g0', `s${nth}`);
    gateways.kill('g0');
    for (const name of NAMES.slice(1)) {
      for (let nth = 0; nth < 20; nth += 1) {
        expect(gateways.find(name, `s${nth}`).origin).toEqual(ORIGIN);
      }
    }
  });

  // Each record has three copies, so two holders may stop with the first one.
  it('is found after any three gateways were killed', () => {
    const few = namesOf(6);
    for (let nth = 0; nth < 40; nth += 1) {
      const gateways = new Gateways(few);
      gateways.begin('g0', `s${nth}`);
      for (const name of ['g0', 'g1', 'g2']) gateways.kill(name);
      expect(gateways.find('g5', `s${nth}`).origin).toEqual(ORIGIN);
    }
  });

  it('is found by gateways whose lists differ', () => {
    const gateways = new Gateways(NAMES);
    for (let nth = 0; nth < 40; nth += 1) gateways.begin('g0', `s${nth}`);
    const others = [...NAMES.slice(0, -2), 'g30', 'g31', 'g32'];
    for (const name of ['g30', 'g31', 'g32']) gateways.start(name);
    gateways.list('g5', others, 5_000);
    for (let nth = 0; nth < 40; nth += 1) {
      expect(gateways.find('g5', `s${nth}`).origin).toEqual(ORIGIN);
    }
  });

  // With three copies of a record, one stream of a thousand is lost.
  it('is found although each tenth datagram is lost', () => {
    const random = new Random(SEED);
    const gateways = new Gateways(NAMES, () => random.next() < 0.1);
    let unknown = 0;
    for (let nth = 0; nth < 1_000; nth += 1) {
      gateways.begin('g0', `s${nth}`);
      if (!gateways.find('g5', `s${nth}`).origin) unknown += 1;
    }
    expect(unknown).toBeLessThan(5);
  });

  // The caller comes back before the record has arrived.
  it('is found when the record arrives during the lookup', () => {
    const gateways = new Gateways(NAMES);
    const directory = gateways.at('g5');
    const key = directory.keyOf('nord', 's');
    const found: (StreamOrigin | undefined)[] = [];
    directory.find(key, 0, origin => found.push(origin));
    gateways.begin('g0', 's');
    directory.tick(30);
    expect(found).toEqual([ORIGIN]);
  });

  it('is unknown at once to a gateway without others', () => {
    const gateways = new Gateways(['g0']);
    expect(gateways.find('g0', 's')).toEqual({origin: undefined, tookMs: 0});
  });

  it('is unknown soon if no gateway knows it', () => {
    const gateways = new Gateways(NAMES);
    const {origin, tookMs} = gateways.find('g0', 'never-seen');
    expect(origin).toBeUndefined();
    expect(tookMs).toBeLessThanOrEqual(20);
  });

  it('is unknown in the end if no gateway answers', () => {
    const gateways = new Gateways(NAMES, () => true);
    gateways.begin('g0', 's');
    expect(gateways.find('g5', 's').origin).toBeUndefined();
    expect(gateways.at('g5').pending).toBe(0);
  });

  it('of another workspace is unknown', () => {
    const gateways = new Gateways(NAMES);
    const directory = gateways.at('g0');
    const key = directory.keyOf('sued', 's');
    directory.record(key, ORIGIN, TIMEOUT_MS, 0);
    expect(gateways.find('g0', 's').origin).toBeUndefined();
  });

  // Two streams that share a request id can't be told apart.
  it('is unknown if two streams began with one id', () => {
    const gateways = new Gateways(['g0', 'g1', 'g2']);
    gateways.begin('g0', 's', ORIGIN);
    gateways.begin('g1', 's', OTHER);
    expect(gateways.find('g2', 's').origin).toBeUndefined();
  });

  it('costs three datagrams, whatever the number of gateways', () => {
    for (const count of [4, 20, 370]) {
      const gateways = new Gateways(namesOf(count));
      gateways.begin('g0', 's');
      expect(gateways.sent).toBe(3);
    }
  });

  it('survives datagrams with any bytes', () => {
    const directory = new Gateways(NAMES).at('g0');
    fc.assert(
      fc.property(fc.uint8Array({maxLength: 200}), bytes => {
        const datagram = decodeDatagram(bytes);
        if (datagram) directory.receive(datagram, 'g1:1', 0);
      }),
    );
  });
});

describe('records of streams', () => {
  const key = (id: number): {low: number; high: number} => ({low: id, high: 0});

  it('are dropped after their time', () => {
    const records = new StreamRecords();
    records.add(key(1), ORIGIN, 100);
    expect(records.find(key(1), 99)).toEqual(ORIGIN);
    expect(records.find(key(1), 100)).toBeUndefined();
    records.expire(100);
    expect(records.size).toBe(0);
  });

  it('are kept longer when the stream is resumed', () => {
    const records = new StreamRecords();
    records.add(key(1), ORIGIN, 100);
    records.add(key(1), ORIGIN, 200);
    expect(records.find(key(1), 150)).toEqual(ORIGIN);
  });

  it('are bounded in number, the oldest dropped first', () => {
    const records = new StreamRecords();
    for (let id = 0; id < 70_000; id += 1) records.add(key(id), ORIGIN, 100);
    expect(records.size).toBe(65_536);
    expect(records.find(key(0), 0)).toBeUndefined();
    expect(records.find(key(69_999), 0)).toEqual(ORIGIN);
  });
});

describe('the list of gateways', () => {
  const peer = (node: string): {node: string; address: string} => ({
    node,
    address: `${node}:1`,
  });

  // A member of control that has just started lists only a few gateways.
  it('keeps gateways for a while that control no longer lists', () => {
    const peers = new PeerAddresses('g0', hasher);
    peers.apply({whole: true, peers: NAMES.map(peer)}, 0);
    peers.apply({whole: true, peers: [peer('g0'), peer('g1')]}, 1_000);
    peers.expire(10_000);
    expect(peers.size).toBe(NAMES.length - 1);
    peers.expire(12_000);
    expect(peers.size).toBe(1);
  });

  it('tells whether control lists this gateway', () => {
    const peers = new PeerAddresses('g0', hasher);
    expect(peers.listedAddress).toBeUndefined();
    peers.apply({whole: true, peers: [peer('g0'), peer('g1')]}, 0);
    expect(peers.listedAddress).toBe('g0:1');
    peers.apply({gone: ['g0']}, 0);
    expect(peers.listedAddress).toBeUndefined();
    expect(peers.size).toBe(1);
  });
});
