/**
 * Unregister functions, which features return when they register.
 */

/** Removes one registration. Calling it again has no effect. */
export type Unregister = () => void;

/**
 * @param unregisters the functions, called in reverse order
 * @returns one function that calls each of them once
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
