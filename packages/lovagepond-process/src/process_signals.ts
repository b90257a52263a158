/**
 * Maps operating system signals to lifecycle events.
 *
 * SIGUSR1 is not used, because Node starts its inspector on it.
 */
import {type Unregister} from '@lovagepond/core';
import {type LifecycleEvent} from './process_lifecycle.js';

const SIGNAL_EVENTS: readonly (readonly [NodeJS.Signals, LifecycleEvent])[] = [
  ['SIGTERM', 'terminate'],
  ['SIGINT', 'interrupt'],
  ['SIGHUP', 'reload'],
  ['SIGUSR2', 'dump'],
];

/**
 * @param listener called with the event of each received signal
 * @returns a function that removes the signal handlers
 */
export function registerSignals(
  listener: (event: LifecycleEvent) => void,
): Unregister {
  const registered = SIGNAL_EVENTS.map(([signal, event]) => {
    const handler = (): void => {
      listener(event);
    };
    process.on(signal, handler);
    return {signal, handler};
  });
  return () => {
    for (const {signal, handler} of registered) process.off(signal, handler);
  };
}
