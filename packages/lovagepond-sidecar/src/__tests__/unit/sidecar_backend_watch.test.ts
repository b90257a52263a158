import {makeFailure, Random} from '@lovagepond/core';
import {expect, it} from 'vitest';
import {DEFAULT_GATE_SETTINGS, SidecarGate} from '../../index.js';
import {SidecarBackendWatch} from '../../sidecar_backend_watch.js';
import {CLOCK, EchoEngine, LOG} from './sidecar_test_utils.js';

/** An engine whose load reports can fail. */
class FlakyEngine extends EchoEngine {
  isResponsive = true;

  override loadReport(): ReturnType<EchoEngine['loadReport']> {
    if (this.isResponsive) return super.loadReport();
    return Promise.resolve({ok: false, failure: makeFailure('unreachable')});
  }
}

function makeWatch(): {
  engine: FlakyEngine;
  gate: SidecarGate;
  watch: SidecarBackendWatch;
} {
  const engine = new FlakyEngine();
  const gate = new SidecarGate(
    {
      ...DEFAULT_GATE_SETTINGS,
      backendServer: 'engine-1',
      incarnation: 'inc-1',
    },
    new Random(1),
  );
  const watch = new SidecarBackendWatch({
    backend: {kind: 'engine', engine},
    gate,
    clock: CLOCK,
    log: LOG,
    onNotice: () => {},
  });
  return {engine, gate, watch};
}

// Guards against reporting a crash to routers as an ordinary failed run.
it('reports that the backend instance of a run has ended', async () => {
  const {engine, watch} = makeWatch();
  await watch.probe();
  const {instance} = watch;
  expect(await watch.hasEnded(instance)).toBe(false);
  engine.isResponsive = false;
  expect(await watch.hasEnded(instance)).toBe(true);
  await watch.probe();
  expect(watch.instance).toBe(instance + 1);
  engine.isResponsive = true;
  engine.incarnation = 'engine-b';
  await watch.probe();
  expect(watch.instance).toBe(instance + 1);
  engine.incarnation = 'engine-c';
  expect(await watch.hasEnded(instance + 1)).toBe(true);
});

// The engine restarts between two probes, which empties its cache. If its chats
// stayed marked as warm, requests would be held for a lost context. Two
// failures mark the engine as down: failed probes or requests that can't be
// sent.
it('detects that its engine restarted or is down', async () => {
  const {engine, gate, watch} = makeWatch();
  expect(watch.up).toBe(false);
  await watch.probe();
  expect(watch.up).toBe(true);
  expect(gate.admission.capacityTokens).toBe(100_000);
  gate.cache.apply(1, 'w', 'chat', 500);
  await watch.probe();
  expect(gate.cache.read('w', 'chat').warmth).toBe('warm');
  engine.incarnation = 'engine-b';
  await watch.probe();
  expect(gate.cache.read('w', 'chat')).toEqual({warmth: 'unknown', tokens: 0});
  engine.isResponsive = false;
  await watch.probe();
  expect(watch.up).toBe(true);
  watch.noteUnreachable();
  expect(watch.up).toBe(false);
  engine.isResponsive = true;
  await watch.probe();
  expect(watch.up).toBe(true);
});

// Guards against probes that reach a server which sheds load.
it('is not probed within a pause that it asked for', async () => {
  const {engine, watch} = makeWatch();
  watch.start();
  await watch.probe();
  engine.notify({pauseMs: 60_000, isLeaving: false});
  await watch.probe();
  expect(engine.probes).toBe(1);
  expect(watch.up).toBe(true);
});
