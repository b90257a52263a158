/**
 * Feeds the HTTP parser of a connection in small pieces.
 *
 * Node's parser makes objects of all requests in what it is given, some thousand
 * in one read of 64 KiB, and can't be stopped in between. After a small piece
 * the connection can be closed or paused.
 */
import {type Socket} from 'node:net';

/** Largest piece while a request's head is expected, bytes. */
const HEAD_PIECE_BYTES = 1024;

/** Largest piece of a request's body, bytes. */
const BODY_PIECE_BYTES = 8 * 1024;

/** Connections whose input is dropped. */
const dropping = new WeakSet<Socket>();

export interface FeedListener {
  /** @returns whether a request's body is incomplete */
  isReceivingBody(): boolean;
  /**
   * Called after each piece that began outside a body.
   *
   * @param bytes its size
   */
  onHeadPiece(bytes: number): void;
}

/**
 * @param socket a connection that Node's HTTP server has just accepted
 * @param listener decides on the size of pieces
 */
export function feedParser(socket: Socket, listener: FeedListener): void {
  const [parse] = socket.listeners('data') as ((piece: Buffer) => void)[];
  if (!parse) return;
  /** @returns false if nothing further is to be parsed */
  const feed = (piece: Buffer, isBody: boolean): boolean => {
    parse.call(socket, piece);
    if (socket.destroyed || dropping.has(socket)) return false;
    if (!isBody) listener.onHeadPiece(piece.length);
    return true;
  };
  socket.removeAllListeners('data');
  socket.on('data', (chunk: Buffer) => {
    let at = 0;
    while (at < chunk.length) {
      const isBody = listener.isReceivingBody();
      const end = at + (isBody ? BODY_PIECE_BYTES : HEAD_PIECE_BYTES);
      const isWhole = at === 0 && end >= chunk.length;
      const piece = isWhole ? chunk : chunk.subarray(at, end);
      at += piece.length;
      if (!feed(piece, isBody)) return;
      // The parser takes nothing while it is paused.
      if (at < chunk.length && socket.isPaused()) {
        socket.unshift(chunk.subarray(at));
        return;
      }
    }
  });
}

/** @param socket a connection whose further input is read and dropped */
export function dropInput(socket: Socket): void {
  dropping.add(socket);
  socket.removeAllListeners('data');
  socket.on('data', () => undefined);
  socket.resume();
}
