/**
 * Buffers a request's body before anything of it is forwarded. An incomplete
 * request then never runs at a server, and a forwarded one can be retried.
 */
import {type IncomingMessage} from 'node:http';
import {type ErrorKind} from '@lovagepond/core';

/** Receives the result of reading a body; exactly one method is called. */
export interface BodyListener {
  onWhole(body: Buffer): void;
  onRefused(error: ErrorKind): void;
  /** The caller disconnected, so that no response is needed. */
  onDisconnected(): void;
}

/**
 * @param req the request
 * @param maxBytes largest accepted body, bytes
 * @param limitMs time limit for the whole body, milliseconds
 * @param listener receives the result
 * @returns rejects the request unless the result is known
 */
export function readBody(
  req: IncomingMessage,
  maxBytes: number,
  limitMs: number,
  listener: BodyListener,
): (error: ErrorKind) => void {
  const chunks: Buffer[] = [];
  let size = 0;
  let isOver = false;
  const end = (notify: () => void): void => {
    if (isOver) return;
    isOver = true;
    clearTimeout(timer);
    notify();
  };
  const refuse = (error: ErrorKind): void => {
    end(() => {
      listener.onRefused(error);
    });
  };
  const timer = setTimeout(() => {
    refuse('senderTooSlow');
  }, limitMs);
  if (Number(req.headers['content-length'] ?? 0) > maxBytes) {
    refuse('payloadTooLarge');
    return refuse;
  }
  req.on('data', (chunk: Buffer) => {
    size += chunk.length;
    if (size > maxBytes) refuse('payloadTooLarge');
    else if (!isOver) chunks.push(chunk);
  });
  req.on('end', () => {
    end(() => {
      listener.onWhole(Buffer.concat(chunks));
    });
  });
  req.on('close', () => {
    end(() => {
      listener.onDisconnected();
    });
  });
  req.on('error', () => {
    end(() => {
      listener.onDisconnected();
    });
  });
  return refuse;
}
