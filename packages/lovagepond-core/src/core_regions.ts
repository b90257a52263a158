/**
 * Regions in which a request may run.
 */

/** Decides whether a backend server's region is allowed. */
export type RegionCheck = (region: string) => boolean;

/**
 * @param selector regions that the selector allows; undefined for all
 * @param workspace regions that the workspace allows; undefined for all
 * @returns true for the regions that both allow
 */
export function regionCheckOf(
  selector: readonly string[] | undefined,
  workspace: readonly string[] | undefined,
): RegionCheck {
  return region =>
    (selector?.includes(region) ?? true) &&
    (workspace?.includes(region) ?? true);
}
