/**
 * Bodies of completion requests and answers, in the form that OpenAI clients
 * use. Unknown members are ignored, since those clients send many.
 *
 * @module
 */

import { Ok } from "ts-results-es";
import { z } from "zod";
import { notRun, type Outcome } from "../common/verdict.ts";

const common = {
  model: z.string().min(1).max(63),
  max_tokens: z.int().min(1).max(131_072).optional(),
  stream: z.boolean().default(false),
  n: z.literal(1).optional(),
};

const textSchema = z.object({ ...common, prompt: z.string() });
const chatSchema = z.object({
  ...common,
  messages: z.array(z.object({
    role: z.enum(["system", "user", "assistant"]),
    content: z.string(),
  })).min(1),
});

/** Which of the two interfaces a caller used. */
export type CompletionKind = "text" | "chat";

/** A completion request as parsed from a body. */
export interface CompletionBody {
  readonly kind: CompletionKind;
  readonly pipeline: string;
  readonly prompt: string;
  /** Undefined when the caller leaves it to the pipeline. */
  readonly maxTokens: number | undefined;
  readonly stream: boolean;
}

/** Checks a parsed JSON body. */
export function parseCompletionBody(
  kind: CompletionKind,
  json: unknown,
): Outcome<CompletionBody> {
  const parsed = kind === "text"
    ? textSchema.safeParse(json)
    : chatSchema.safeParse(json);
  if (!parsed.success) {
    const issue = parsed.error.issues[0];
    return notRun(
      "bad-request",
      `${issue.path.join(".") || "body"}: ${issue.message}`,
    );
  }
  const body = parsed.data;
  return new Ok({
    kind,
    pipeline: body.model,
    prompt: "prompt" in body ? body.prompt : formatChat(body.messages),
    maxTokens: body.max_tokens,
    stream: body.stream,
  });
}

/** The document of a whole answer. */
export function completionDocument(
  kind: CompletionKind,
  completion: {
    readonly id: string;
    readonly model: string;
    readonly text: string;
    readonly finishReason: string;
    readonly tokenCount: number;
  },
): unknown {
  const content = kind === "text"
    ? { text: completion.text }
    : { message: { role: "assistant", content: completion.text } };
  return {
    id: completion.id,
    object: kind === "text" ? "text_completion" : "chat.completion",
    model: completion.model,
    choices: [{ index: 0, ...content, finish_reason: completion.finishReason }],
    usage: { completion_tokens: completion.tokenCount },
  };
}

/** The constant parts of a stream's events, so that each event costs one string. */
export function createEventFormatter(
  kind: CompletionKind,
  completion: { readonly id: string; readonly model: string },
): (text: string, finishReason: string | null) => string {
  const object = kind === "text" ? "text_completion" : "chat.completion.chunk";
  const eventPrefix = `data: ${
    JSON.stringify({ id: completion.id, object, model: completion.model })
      .slice(0, -1)
  },"choices":[{"index":0,`;
  return (text, finishReason) => {
    const content = kind === "text"
      ? `"text":${JSON.stringify(text)}`
      : `"delta":{"content":${JSON.stringify(text)}}`;
    return `${eventPrefix}${content},"finish_reason":${
      JSON.stringify(finishReason)
    }}]}\n\n`;
  };
}

function formatChat(
  messages: readonly { role: string; content: string }[],
): string {
  return messages.map((message) => `${message.role}: ${message.content}`).join(
    "\n",
  );
}
