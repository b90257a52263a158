/**
 * `ctl convergence`: shows the revision in force at each router and sidecar.
 */
import {type ConvergenceView} from '@lovagepond/control';
import {EXIT_CODE} from '@lovagepond/process';
import {formatTable, parseCount} from './ctl_format_utils.js';
import {type CtlCall, type CtlCommand, type CtlOutput} from './ctl_types.js';

/** Answer of one control member. */
interface ConvergenceAnswer {
  readonly revision: number;
  readonly nodes: readonly ConvergenceView[];
}

/** Merged answers of all control members. */
export interface Convergence {
  /** The revision that every node should have in force. */
  readonly revision: number;
  readonly nodes: readonly ConvergenceView[];
  /** Names of the nodes with an older revision. */
  readonly behind: readonly string[];
}

const DEFAULT_WAIT_SECONDS = 10;
const MS_PER_SECOND = 1_000;
const POLL_MS = 250;

/**
 * Merges the answers of the members. Each node reports only to the member that
 * it is subscribed to, so no single member has the reports of all nodes.
 *
 * @param answers one answer for each member that responded
 * @param wanted the revision to compare with; the newest when undefined
 * @returns the latest report of each node, sorted by name
 */
function mergeConvergence(
  answers: readonly ConvergenceAnswer[],
  wanted?: number,
): Convergence {
  const latest = new Map<string, ConvergenceView>();
  for (const view of answers.flatMap(answer => answer.nodes)) {
    const known = latest.get(view.node);
    if (!known || view.ageMs < known.ageMs) latest.set(view.node, view);
  }
  const newest = Math.max(0, ...answers.map(answer => answer.revision));
  const revision = wanted ?? newest;
  const nodes = [...latest.values()].sort((a, b) => (a.node < b.node ? -1 : 1));
  const behind = nodes
    .filter(view => view.revision < revision)
    .map(view => view.node);
  return {revision, nodes, behind};
}

async function readConvergence(call: CtlCall): Promise<Convergence> {
  const {revision} = call.options;
  const wanted =
    revision === undefined ? undefined : parseCount(revision, '--revision');
  const answers = await call.client.readAll('/v1/convergence');
  return mergeConvergence([...answers.values()] as ConvergenceAnswer[], wanted);
}

function show(convergence: Convergence): CtlOutput {
  const {revision, nodes, behind} = convergence;
  const rows = nodes.map(view => [
    view.node,
    view.role,
    view.revision,
    view.revision >= revision ? 'yes' : 'no',
    Math.round(view.ageMs),
  ]);
  const headings = ['NODE', 'ROLE', 'REVISION', 'IN FORCE', 'AGE MS'];
  const total = `revision ${revision}: ${behind.length} of ${nodes.length} behind`;
  return {json: convergence, lines: [...formatTable(headings, rows), total]};
}

async function showConvergence(call: CtlCall): Promise<CtlOutput> {
  const {wait = false, limit} = call.options;
  const seconds =
    limit === undefined ? DEFAULT_WAIT_SECONDS : parseCount(limit, '--limit');
  const deadline = call.io.now() + seconds * MS_PER_SECOND;
  let convergence = await readConvergence(call);
  while (wait && convergence.behind.length > 0) {
    if (call.io.now() + POLL_MS > deadline) {
      return {...show(convergence), exitCode: EXIT_CODE.NOT_CONVERGED};
    }
    await call.io.wait(POLL_MS);
    convergence = await readConvergence(call);
  }
  return show(convergence);
}

/** The `convergence` command. */
export const CONVERGENCE_COMMANDS: readonly CtlCommand[] = [
  {
    name: 'convergence',
    description: 'show the revision in force at each router and sidecar',
    options: [
      ['--wait', 'wait until the revision is in force everywhere'],
      [
        '--limit <seconds>',
        `time limit of --wait (default: ${DEFAULT_WAIT_SECONDS})`,
      ],
      ['--revision <n>', 'revision to compare with (default: the newest)'],
    ],
    example: 'convergence --wait --limit 4',
    run: showConvergence,
  },
];
