/**
 * Reads the body of a request as text.
 */
import {type IncomingMessage} from 'node:http';

/**
 * The rest of a body that is too large stays unread, and the connection open,
 * so that the request can be answered.
 *
 * @param req the request
 * @param maxBytes maximum size of the body
 * @returns the body as text, or undefined when it is larger
 * @throws when the connection closes before the end of the body
 */
export function readText(
  req: IncomingMessage,
  maxBytes: number,
): Promise<string | undefined> {
  return new Promise((resolve, reject) => {
    const chunks: Buffer[] = [];
    let size = 0;
    const onData = (chunk: Buffer): void => {
      size += chunk.length;
      if (size <= maxBytes) {
        chunks.push(chunk);
        return;
      }
      req.off('data', onData);
      req.pause();
      resolve(undefined);
    };
    req.on('data', onData);
    req.once('end', () => {
      resolve(Buffer.concat(chunks).toString('utf8'));
    });
    req.once('error', reject);
    req.once('close', () => {
      reject(new Error('the connection closed before the end of the body'));
    });
  });
}
