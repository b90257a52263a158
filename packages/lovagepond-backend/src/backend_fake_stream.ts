/**
 * One streamed answer of a fake engine. Its events are retained, so that the
 * answer can be resumed after a lost connection.
 */
import {type ServerResponse} from 'node:http';
import {type FakeJob} from './backend_fake_batch.js';
import {fakeToken} from './backend_fake_answer.js';
import {type FakeFaults} from './backend_fake_faults.js';
import {DONE_DATA, ENGINE_HEADER} from './backend_engine_protocol.js';
import {type EngineUsage} from './backend_model_engine.js';

const CROSSED_ID = 'another-request';

/** Faults in the delivery of one answer. */
export type FakeStreamFaults = Pick<
  FakeFaults,
  'cutAfterTokens' | 'truncateAfterTokens' | 'stallAfterTokens' | 'crossAnswers'
>;

function usageOf(usage: EngineUsage): object {
  return {
    prompt_tokens: usage.promptTokens,
    completion_tokens: usage.answerTokens,
    total_tokens: usage.promptTokens + usage.answerTokens,
    prompt_tokens_details: {cached_tokens: usage.cachedTokens},
  };
}

/** An answer and the response that it is written to. */
export class FakeStream {
  readonly job: FakeJob;
  readonly #faults: FakeStreamFaults;
  readonly #id: string;
  readonly #events: Buffer[] = [];
  #res: ServerResponse | undefined;
  #stalled = false;
  #truncated = false;
  #finished = false;

  /**
   * @param job the request
   * @param faults faults in its delivery; a cut or a stall occurs only once, so
   *     that resuming succeeds
   */
  constructor(job: FakeJob, faults: FakeStreamFaults) {
    this.job = job;
    this.#faults = faults;
    this.#id = faults.crossAnswers ? CROSSED_ID : job.requestId;
  }

  get finished(): boolean {
    return this.#finished;
  }

  get attached(): boolean {
    return this.#res !== undefined;
  }

  /**
   * @param res the response that gets the answer from now on
   * @param offset number of bytes that were already delivered
   * @returns false when no event starts at the offset
   */
  attach(res: ServerResponse, offset: number): boolean {
    let position = 0;
    let index = 0;
    while (position < offset && index < this.#events.length) {
      position += this.#events[index]?.length ?? 0;
      index += 1;
    }
    if (position !== offset || this.#truncated) return false;
    if (this.#res) this.#stalled = false;
    this.#res = res;
    res.on('close', () => {
      if (this.#res === res) this.#res = undefined;
    });
    res.writeHead(200, {
      'content-type': 'text/event-stream',
      [ENGINE_HEADER.RESUME_FROM]: String(offset),
    });
    res.flushHeaders();
    for (const event of this.#events.slice(index)) res.write(event);
    if (this.#finished) this.#close();
    return true;
  }

  /** Sends a comment that prevents the client's read timeout. */
  heartbeat(): void {
    if (!this.#stalled) this.#res?.write(': heartbeat\n\n');
  }

  /** @param cachedTokens cached tokens of the prompt */
  start(cachedTokens: number): void {
    const {promptTokens} = this.job;
    const usage = usageOf({promptTokens, cachedTokens, answerTokens: 0});
    this.#push({choices: [{index: 0, delta: {role: 'assistant'}}], usage});
  }

  /** @param index position of the token */
  addToken(index: number): void {
    const content = fakeToken(this.#id, index);
    this.#push({choices: [{index: 0, delta: {content}}]});
    this.#injectFault(index + 1);
  }

  /** @param usage token counts for the last event */
  finish(usage: EngineUsage): void {
    const choices = [{index: 0, delta: {}, finish_reason: 'stop'}];
    this.#push({choices, usage: usageOf(usage)});
    this.#finished = true;
    if (!this.#stalled) this.#close();
  }

  /** Closes the connection abruptly, as a crash of the engine would. */
  cut(): void {
    const res = this.#res;
    this.#res = undefined;
    res?.destroy();
  }

  #push(content: object): void {
    const chunk = {
      id: this.#id,
      object: 'chat.completion.chunk',
      model: 'fake',
      ...content,
    };
    const event = Buffer.from(`data: ${JSON.stringify(chunk)}\n\n`);
    this.#events.push(event);
    if (!this.#stalled) this.#res?.write(event);
  }

  #injectFault(tokens: number): void {
    const faults = this.#faults;
    if (tokens === faults.stallAfterTokens) this.#stalled = true;
    if (tokens === faults.cutAfterTokens) this.cut();
    if (tokens === faults.truncateAfterTokens) {
      this.#truncated = true;
      this.#res?.end();
      this.#res = undefined;
    }
  }

  #close(): void {
    this.#res?.end(`data: ${DONE_DATA}\n\n`);
  }
}
