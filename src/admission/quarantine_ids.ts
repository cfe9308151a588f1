/**
 * The ids under which failures of a request are counted: that of its content,
 * and those of the parts of its prompt that other requests share.
 *
 * @module
 */

const PART_SUFFIX = "/part";

export interface SuspectContent {
  readonly contentId: string;
  readonly sharedPromptParts: readonly string[];
}

export function promptPartIds(parts: readonly string[]): string[] {
  return parts.map((part) => `${part}${PART_SUFFIX}`);
}

export function isPromptPartId(id: string): boolean {
  return id.endsWith(PART_SUFFIX);
}

/** The content's id is the first. */
export function quarantineIds(content: SuspectContent): readonly string[] {
  return [content.contentId, ...promptPartIds(content.sharedPromptParts)];
}
