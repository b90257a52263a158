/**
 * Adapter for a plain service over HTTP/1.1.
 */
import {type ErrorKind, makeFailure, type Unregister} from '@lovagepond/core';
import {
  HttpBackendClient,
  type HttpClientSettings,
  type BufferedOutcome,
} from './backend_http_client.js';
import {type Loss, LOSS} from './backend_http_exchange.js';
import {
  type PlainService,
  type ServiceOutcome,
  type ServiceRequest,
} from './backend_plain_service.js';
import {
  type ServerNoticeListener,
  ServerNotices,
} from './backend_server_notices.js';
import {startTimer} from './backend_timer_utils.js';

/** Error kinds for a failure before any byte of the call was sent. */
const LOST_BEFORE_DISPATCH: Readonly<Record<Loss, ErrorKind>> = {
  [LOSS.UNREACHABLE]: 'unreachable',
  [LOSS.SILENT]: 'unreachable',
  [LOSS.BROKEN]: 'unreachable',
  [LOSS.ABORTED]: 'revoked',
};

/** Error kinds for a failure after the first byte: the call may have run. */
const LOST_AFTER_DISPATCH: Readonly<Record<Loss, ErrorKind>> = {
  [LOSS.UNREACHABLE]: 'backendFailed',
  [LOSS.SILENT]: 'backendSilent',
  [LOSS.BROKEN]: 'backendFailed',
  [LOSS.ABORTED]: 'callerGone',
};

const HTTP_NO_CONTENT = 204;
const REQUEST_ID_HEADER = 'x-request-id';

function failed(kind: ErrorKind, message?: string): ServiceOutcome {
  const details = message === undefined ? {} : {message};
  return {kind: 'failed', failure: makeFailure(kind, details)};
}

function headersOf(request: ServiceRequest): Record<string, string> {
  const headers: Record<string, string> = {
    'content-type': request.contentType,
    [REQUEST_ID_HEADER]: request.requestId,
    'x-lovagepond-workspace': request.workspace,
  };
  if (request.idempotencyKey !== undefined) {
    headers['idempotency-key'] = request.idempotencyKey;
  }
  return headers;
}

function isDelimited({
  status,
  headers,
}: Extract<BufferedOutcome, {kind: 'answered'}>): boolean {
  if (status === HTTP_NO_CONTENT) return true;
  const chunked = headers['transfer-encoding'] !== undefined;
  return chunked || headers['content-length'] !== undefined;
}

/** Client for a plain service; sends each call only once. */
export class HttpPlainService implements PlainService {
  readonly #notices = new ServerNotices();
  readonly #client: HttpBackendClient;

  /** @param settings the service's origin, limits and timeouts */
  constructor(settings: HttpClientSettings) {
    this.#client = new HttpBackendClient(settings, this.#notices);
  }

  onNotice(listener: ServerNoticeListener): Unregister {
    return this.#notices.register(listener);
  }

  async call(
    request: ServiceRequest,
    now: number,
    signal?: AbortSignal,
  ): Promise<ServiceOutcome> {
    const left = request.deadline - now;
    if (left <= 0) return failed('deadlineUnreachable');
    const limit = new AbortController();
    const abort = (): void => {
      limit.abort();
    };
    const timer = startTimer(left, abort);
    signal?.addEventListener('abort', abort);
    if (signal?.aborted) abort();
    const outcome = await this.#send(request, limit.signal);
    clearTimeout(timer);
    signal?.removeEventListener('abort', abort);
    const byDeadline = limit.signal.aborted && signal?.aborted !== true;
    return this.#toOutcome(request, outcome, byDeadline);
  }

  async probe(): Promise<boolean> {
    const {silenceMs} = this.#client.settings;
    const request = {method: 'GET', path: '/', headers: {}, silenceMs} as const;
    const outcome = await this.#client.sendBuffered(request, true);
    return outcome.kind !== 'lost';
  }

  close(): Promise<void> {
    return this.#client.close();
  }

  #send(
    request: ServiceRequest,
    signal: AbortSignal,
  ): Promise<BufferedOutcome> {
    const exchange = {
      method: 'POST',
      path: request.path,
      headers: headersOf(request),
      body: request.body,
      silenceMs: this.#client.settings.silenceMs,
    } as const;
    // If the service closes a pooled connection at the same moment, the call
    // fails after it was sent: it may have run and must not be retried. A new
    // connection proves that the service is up before any byte is sent.
    return this.#client.sendBuffered(exchange, request.nonRepeatable, signal);
  }

  #toOutcome(
    request: ServiceRequest,
    outcome: BufferedOutcome,
    byDeadline: boolean,
  ): ServiceOutcome {
    if (outcome.kind === 'tooLarge') {
      return failed('backendFailed', 'The answer is larger than allowed.');
    }
    if (outcome.kind === 'lost') {
      if (outcome.dispatched && byDeadline) return failed('deadlineExceeded');
      const {dispatched, loss} = outcome;
      const table = dispatched ? LOST_AFTER_DISPATCH : LOST_BEFORE_DISPATCH;
      return failed(table[loss]);
    }
    const echoed = outcome.headers[REQUEST_ID_HEADER];
    if (echoed !== undefined && echoed !== request.requestId) {
      return failed('backendFailed', "The service gave another call's answer.");
    }
    // Without a length or chunked encoding, truncation can't be detected.
    if (!isDelimited(outcome)) return failed('answerTruncated');
    return {
      kind: 'answered',
      status: outcome.status,
      contentType: String(
        outcome.headers['content-type'] ?? 'application/octet-stream',
      ),
      body: outcome.body,
    };
  }
}
