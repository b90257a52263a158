/**
 * Reads a request's body whole before anything of it goes on: a request that
 * stops half way has then not run, and one that runs can be tried again.
 */
import {type IncomingMessage} from 'node:http';
import {type ErrorKind} from '@lovagepond/core';

/** Hears once how the reading ended. */
export interface BodyListener {
  onWhole(body: Buffer): void;
  onRefused(error: ErrorKind): void;
  /** The caller left; nobody is there to be answered. */
  onDisconnected(): void;
}

/**
 * @param req the request
 * @param maxBytes largest body taken
 * @param limitMs longest time for the body, milliseconds
 * @param listener hears how it ended
 */
export function readBody(
  req: IncomingMessage,
  maxBytes: number,
  limitMs: number,
  listener: BodyListener,
): void {
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
    return;
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
}
