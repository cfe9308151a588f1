import { expect, test } from "vitest";
import { contentId, type RequestContent } from "./content_id.ts";

const CONTENT: RequestContent = {
  method: "POST",
  path: "/briefs/1?x=2",
  customer: "breeders",
  body: Buffer.from("a body"),
};

test("equal content has an equal id, and each part of the content changes it", () => {
  const changed: Partial<RequestContent>[] = [
    { method: "PUT" },
    { path: "/briefs/1?x=3" },
    { customer: "judges" },
    { customer: undefined },
    { body: Buffer.from("another body") },
    { body: undefined },
  ];
  const ids = changed.map((change) => contentId({ ...CONTENT, ...change }));
  expect(new Set([contentId(CONTENT), ...ids]).size).toBe(changed.length + 1);
  expect(contentId({ ...CONTENT, body: Buffer.from("a body") }))
    .toBe(contentId(CONTENT));
});
