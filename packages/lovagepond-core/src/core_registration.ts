/**
 * Joins the unregister functions that features return when they register.
 */

/** Takes back one registration. Calling it again has no effect. */
export type Unregister = () => void;

/**
 * Merges several unregister functions into one.
 *
 * @param unregisters the functions, run last to first
 * @returns one function that runs each part once
 */
export function mergeRegister(
  ...unregisters: readonly Unregister[]
): Unregister {
  let pending = [...unregisters];
  return () => {
    const reversed = pending.reverse();
    pending = [];
    for (const unregister of reversed) unregister();
  };
}
