/**
 * Handles claims, records and order outcomes at the leader.
 */
import {lovagepond} from '@lovagepond/protocol';
import {
  ORDER_OUTCOME,
  type OrderOutcomeKind,
} from './control_administration.js';
import {
  type CallOutcome,
  CLAIM_COMMAND,
  type ClaimPayload,
  ORDER_OUTCOME_COMMAND,
  type OrderOutcomePayload,
  RECORD_COMMAND,
  type RecordPayload,
} from './control_commands.js';
import {type ClaimResult, type RecordResult} from './ledger_state.js';
import {type ProposalResult, type Proposer} from './proposer.js';

const {v1} = lovagepond;

type WireClaim = lovagepond.v1.ClaimRequest.$Properties;
type WireRecord = lovagepond.v1.RecordRequest.$Properties;
type WireOutcome = lovagepond.v1.OrderOutcome.$Properties;

/** Larger answers aren't stored; a repeated call gets `answerNotKept`. */
const MAX_ANSWER_BYTES = 64 * 1024;

const CALL_OUTCOMES: ReadonlySet<string> = new Set<CallOutcome>([
  'ran',
  'notRun',
  'unknown',
]);

export class LedgerHandler {
  readonly #proposer: Proposer;

  constructor(proposer: Proposer) {
    this.#proposer = proposer;
  }

  /**
   * @param req the claim
   * @returns the ledger's answer; only `granted` allows the dispatch
   */
  async claim(req: WireClaim): Promise<lovagepond.v1.ClaimResponse> {
    const answer = await this.#proposer.propose<ClaimPayload, ClaimResult>(
      CLAIM_COMMAND,
      {
        workspace: req.workspace ?? '',
        key: req.idempotencyKey ?? '',
        digest: toBase64(req.bodyDigest),
        server: req.backendServer ?? '',
        incarnation: req.incarnation ?? '',
        attempt: req.attemptId ?? '',
      },
    );
    return toClaimResponse(answer);
  }

  /**
   * @param req the outcome of a claimed call
   * @returns whether the outcome is committed
   */
  async record(req: WireRecord): Promise<lovagepond.v1.RecordResponse> {
    const outcome = req.outcome ?? '';
    if (!CALL_OUTCOMES.has(outcome)) return new v1.RecordResponse();
    const kept = (req.answer?.length ?? 0) <= MAX_ANSWER_BYTES;
    const answer = await this.#proposer.propose<RecordPayload, RecordResult>(
      RECORD_COMMAND,
      {
        workspace: req.workspace ?? '',
        key: req.idempotencyKey ?? '',
        attempt: req.attemptId ?? '',
        outcome: outcome as CallOutcome,
        status: req.status ?? 0,
        ...(kept && {answer: toBase64(req.answer)}),
        contentType: req.contentType ?? '',
      },
    );
    const recorded = answer.kind === 'committed' && answer.value.recorded;
    return new v1.RecordResponse({recorded, leader: leaderOf(answer)});
  }

  /**
   * @param req the outcome of an order
   * @returns whether the outcome is committed
   */
  async reportOrder(
    req: WireOutcome,
  ): Promise<lovagepond.v1.OrderOutcomeResponse> {
    const outcome = Object.values(ORDER_OUTCOME).find(
      kind => kind === req.outcome,
    );
    if (!outcome) return new v1.OrderOutcomeResponse();
    const answer = await this.#proposer.propose<
      OrderOutcomePayload,
      RecordResult
    >(ORDER_OUTCOME_COMMAND, toOutcomePayload(req, outcome));
    const recorded = answer.kind === 'committed' && answer.value.recorded;
    return new v1.OrderOutcomeResponse({recorded});
  }
}

function toOutcomePayload(
  req: WireOutcome,
  outcome: OrderOutcomeKind,
): OrderOutcomePayload {
  return {
    orderId: req.orderId ?? '',
    fencingToken: req.fencingToken ?? 0,
    backendServer: req.backendServer ?? '',
    outcome,
    message: req.message ?? '',
  };
}

/** Outcomes whose name on the wire differs from the error's kind. */
const WIRE_OUTCOMES: Readonly<Partial<Record<ClaimResult['kind'], string>>> = {
  outcomeUnknown: 'unknown',
};

function toClaimResponse(
  answer: ProposalResult<ClaimResult>,
): lovagepond.v1.ClaimResponse {
  if (answer.kind !== 'committed') {
    // The claim may still be committed, but the sidecar must not dispatch the
    // call. It retries under the same attempt id, or records "notRun".
    const outcome =
      answer.kind === 'unknown' ? 'ledgerUnavailable' : 'notLeader';
    return new v1.ClaimResponse({outcome, leader: leaderOf(answer)});
  }
  const result = answer.value;
  const outcome = WIRE_OUTCOMES[result.kind] ?? result.kind;
  if (result.kind !== 'recorded') return new v1.ClaimResponse({outcome});
  return new v1.ClaimResponse({
    outcome,
    status: result.status,
    answer: Buffer.from(result.answer, 'base64'),
    contentType: result.contentType,
  });
}

function leaderOf(answer: ProposalResult<unknown>): string {
  return answer.kind === 'notLeader' ? answer.leader : '';
}

function toBase64(bytes: Uint8Array | null | undefined): string {
  return Buffer.from(bytes ?? []).toString('base64');
}
