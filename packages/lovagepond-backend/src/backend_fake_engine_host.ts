/**
 * Runs a fake engine in real time, with timers and response streams.
 */
import {type ServerResponse} from 'node:http';
import {type Clock} from '@lovagepond/core';
import {type FakeJob} from './backend_fake_batch.js';
import {type FakeEngine, type FakeEngineOutput} from './backend_fake_engine.js';
import {type FakeFaults} from './backend_fake_faults.js';
import {sendJson} from './backend_fake_http.js';
import {FakeStream} from './backend_fake_stream.js';
import {TimerSet} from './backend_timer_utils.js';

/** Counters for tests and the state dump. */
export interface FakeEngineCounters {
  readonly requests: number;
  readonly resumes: number;
  readonly cancels: number;
  readonly finished: number;
  readonly orders: number;
}

export interface FakeEngineHostDependencies {
  readonly engine: FakeEngine;
  readonly clock: Clock;
  /** How long an answer can be resumed after its connection was lost. */
  readonly resumeWindowMs: number;
  /** Closes all connections, as a crash of the process would. */
  readonly cutConnections: () => void;
}

/** Streams the output of a {@link FakeEngine} as responses to requests. */
export class FakeEngineHost {
  readonly #deps: FakeEngineHostDependencies;
  readonly #engine: FakeEngine;
  readonly #streams = new Map<string, FakeStream>();
  readonly #timers = new TimerSet();
  readonly #counters = {
    requests: 0,
    resumes: 0,
    cancels: 0,
    finished: 0,
    orders: 0,
  };
  #faults: FakeFaults = {};
  #faultyRequests = 0;
  #stepTimer: NodeJS.Timeout | undefined;

  /** @param deps the engine and its environment */
  constructor(deps: FakeEngineHostDependencies) {
    this.#deps = deps;
    this.#engine = deps.engine;
  }

  /** Counts of requests and other calls so far. */
  get counters(): FakeEngineCounters {
    return {...this.#counters};
  }

  /** Number of answers that can be resumed. */
  get streams(): number {
    return this.#streams.size;
  }

  /** @param faults replaces the faults that are injected */
  setFaults(faults: FakeFaults): void {
    this.#faults = faults;
    this.#faultyRequests = faults.requests ?? Infinity;
    this.#engine.setFaults(faults);
  }

  /** Restarts the engine: connections, streams and cache are lost. */
  restart(): void {
    this.#engine.restart();
    this.#streams.clear();
    this.#deps.cutConnections();
    clearTimeout(this.#stepTimer);
  }

  /** Stops all timers. */
  stop(): void {
    clearTimeout(this.#stepTimer);
    this.#timers.stop();
  }

  /** Sends a heartbeat on each open response. */
  sendHeartbeats(): void {
    for (const stream of this.#streams.values()) stream.heartbeat();
  }

  countOrder(): void {
    this.#counters.orders += 1;
  }

  /**
   * Runs a request, or resumes one with the same id.
   *
   * @param job the request
   * @param offset number of bytes of the answer that were already delivered
   * @param res the response that gets the answer
   */
  complete(job: FakeJob, offset: number, res: ServerResponse): void {
    const known = this.#streams.get(job.requestId);
    if (known) {
      this.#counters.resumes += 1;
      if (!known.attach(res, offset)) refuseResume(res);
      else this.#cancelAfterDisconnect(res, known);
    } else if (offset > 0) {
      refuseResume(res);
    } else if (this.#faults.refuse) {
      sendJson(res, 503, {error: {message: 'full'}});
    } else {
      this.#submit(job, res);
    }
  }

  /**
   * @param requestId id of a request
   * @returns true when there was such a request
   */
  cancel(requestId: string): boolean {
    this.#counters.cancels += 1;
    const stream = this.#streams.get(requestId);
    if (stream && !this.#faults.answerDelayMs) {
      stream.cut();
      this.#streams.delete(requestId);
      this.#engine.cancel(requestId, this.#deps.clock.now());
    }
    return stream !== undefined;
  }

  #submit(job: FakeJob, res: ServerResponse): void {
    this.#counters.requests += 1;
    const faulty = this.#faultyRequests > 0;
    if (faulty) this.#faultyRequests -= 1;
    const stream = new FakeStream(job, faulty ? this.#faults : {});
    this.#streams.set(job.requestId, stream);
    stream.attach(res, 0);
    this.#cancelAfterDisconnect(res, stream);
    this.#handleOutputs(this.#engine.submit(job, this.#deps.clock.now()));
  }

  #cancelAfterDisconnect(res: ServerResponse, stream: FakeStream): void {
    res.on('close', () => {
      this.#timers.start(this.#deps.resumeWindowMs, () => {
        if (stream.attached) return;
        const {requestId} = stream.job;
        this.#engine.cancel(requestId, this.#deps.clock.now());
        if (this.#streams.get(requestId) !== stream) return;
        this.#streams.delete(requestId);
      });
    });
  }

  #handleOutputs(outputs: readonly FakeEngineOutput[]): void {
    const delayMs = this.#faults.answerDelayMs ?? 0;
    for (const output of outputs) {
      const stream = this.#streams.get(output.requestId);
      if (!stream) continue;
      if (delayMs === 0) this.#deliver(output, stream);
      else {
        this.#timers.start(delayMs, () => {
          this.#deliver(output, stream);
        });
      }
    }
    this.#scheduleStep();
  }

  #deliver(output: FakeEngineOutput, stream: FakeStream): void {
    if (output.kind === 'started') stream.start(output.cachedTokens);
    if (output.kind === 'token') {
      stream.addToken(output.index);
      if (output.index + 1 === this.#faults.dieAfterTokens) this.restart();
    }
    if (output.kind === 'finished') {
      this.#counters.finished += 1;
      stream.finish(output.usage);
    }
  }

  #scheduleStep(): void {
    clearTimeout(this.#stepTimer);
    const at = this.#engine.nextAt();
    if (at === undefined) return;
    const delay = Math.max(0, at - this.#deps.clock.now());
    this.#stepTimer = setTimeout(() => {
      this.#handleOutputs(this.#engine.advance(this.#deps.clock.now()));
    }, delay);
  }
}

function refuseResume(res: ServerResponse): void {
  sendJson(res, 409, {error: {message: 'the answer is not held'}});
}
