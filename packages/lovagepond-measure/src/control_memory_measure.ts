/**
 * Memory of the control role per server, workspace and kept revision.
 */
import {
  CHANGE_COMMAND,
  CONTROL_DEFAULTS,
  ControlStateMachine,
  encodeCommand,
  MembershipLog,
  MembershipRegistry,
} from '@lovagepond/control';
import {describeServer} from './control_announcements.js';
import {makeContent} from './control_propagation_measure.js';
import {measureHeap} from './measure_heap.js';
import {roundTo} from './measure_statistics.js';
import {type MeasureSection} from './measure_types.js';

const SERVERS = 6_400;
const WORKSPACES = 4_800;
/** Exceeds the history limit, so that the history is full. */
const CHANGES = 80;

function makeRegistry(): MembershipRegistry {
  const log = new MembershipLog();
  const registry = new MembershipRegistry({leaseMs: 3_000}, log);
  registry.takeOver(1, 0);
  for (let n = 0; n < SERVERS; n += 1) {
    // Parsing gives each server its own strings.
    const text = JSON.stringify({
      ...describeServer(n),
      name: `muc-riem-engine-${n}`,
      runningTokens: 20_000,
      queuedTokens: 0,
    });
    type Announcement = Parameters<MembershipRegistry['announce']>[0];
    registry.announce(JSON.parse(text) as Announcement, 'ready', 0);
  }
  return registry;
}

function makeConfigured(changes: number): ControlStateMachine {
  const machine = new ControlStateMachine(CONTROL_DEFAULTS, () => 0);
  const stamp = {timeMs: 0, wallTimeMs: 0, term: 1};
  for (let n = 0; n < changes; n += 1) {
    const object = {name: 'workspace-0', weight: n + 1, priority: 5};
    const payload = {
      operationId: `change-${n}`,
      digest: '',
      baseRevision: n,
      edit:
        n === 0
          ? ({kind: 'replace', content: makeContent(WORKSPACES)} as const)
          : ({kind: 'put', section: 'workspaces', object} as const),
    };
    machine.apply(encodeCommand(CHANGE_COMMAND, payload, stamp), n + 1);
  }
  return machine;
}

/** @returns bytes per backend server, workspace and kept revision */
export function measureControlMemory(): MeasureSection {
  const empty = measureHeap(() => makeConfigured(0)).bytes;
  const registry = measureHeap(makeRegistry).bytes;
  const first = measureHeap(() => makeConfigured(1)).bytes - empty;
  const full = measureHeap(() => makeConfigured(CHANGES)).bytes - empty;
  const kept = CONTROL_DEFAULTS.historyLimit;
  return {
    title: 'Memory of control',
    columns: ['for each', 'bytes'],
    rows: [
      ['backend server', roundTo(registry / SERVERS, 0)],
      ['workspace', roundTo(first / WORKSPACES, 0)],
      [
        'kept revision and workspace',
        roundTo((full - first) / kept / WORKSPACES, 1),
      ],
    ],
    notes: [
      `${SERVERS} backend servers, ${WORKSPACES} workspaces, ${kept} revisions kept`,
      'a claim: see the ledger; heap and buffers after a full collection',
    ],
  };
}
