/**
 * Confines unexpected exceptions to the request whose handler threw.
 *
 * A request's handlers run in timers and in callbacks of sockets. An exception
 * that nobody catches there ends the process, and with it every other request.
 */

type Handler = (...args: never[]) => unknown;

/** Called with what a handler has thrown. */
export type OnThrown = (err: unknown) => void;

/**
 * @param handler a handler of a request
 * @param onThrown ends the request
 * @returns the handler; it returns undefined when it has thrown, or a promise of
 *     undefined when it has rejected
 */
export function guardHandler<Guarded extends Handler>(
  handler: Guarded,
  onThrown: OnThrown,
): Guarded {
  const guarded = (...args: never[]): unknown => {
    try {
      const result = handler(...args);
      return result instanceof Promise
        ? result.catch((err: unknown) => {
            onThrown(err);
          })
        : result;
    } catch (err) {
      onThrown(err);
      return undefined;
    }
  };
  return guarded as Guarded;
}

/**
 * @param handlers all handlers of one listener of a request
 * @param onThrown ends the request
 * @returns the listener with each handler guarded
 */
export function guardHandlers<Listener extends object>(
  handlers: Listener,
  onThrown: OnThrown,
): Listener {
  const guarded = Object.entries(handlers).map(([name, handler]) => [
    name,
    guardHandler(handler as Handler, onThrown),
  ]);
  return Object.fromEntries(guarded) as Listener;
}
