/**
 * What all commands share: settings, output and exit codes.
 *
 * @module
 */

import { Command, Option } from "clipanion";
import type { Failure, Outcome } from "../../common/verdict.ts";
import { EXIT_CODES, exitCodeOf } from "../exit_codes.ts";
import { OperatorClient } from "../operator_client.ts";

/** Environment variable of the operator's token; there is no flag for it. */
const TOKEN_VARIABLE = "JACKDAWSHIFT_OPERATOR_TOKEN";

const URL_VARIABLE = "JACKDAWSHIFT_OPERATOR_URL";
const DEFAULT_OPERATOR_URL = "http://127.0.0.1:8081";

/** A command that calls the operator interface of one daemon. */
export abstract class OperatorCommand extends Command {
  operatorUrl = Option.String("--operator-url", DEFAULT_OPERATOR_URL, {
    env: URL_VARIABLE,
    description:
      `URL of a daemon's operator interface; also ${URL_VARIABLE}; ${DEFAULT_OPERATOR_URL} by default`,
  });

  json = Option.Boolean("--json", false, {
    description: "print one JSON document in place of text",
  });

  /** Does the work; resolves with the exit code. */
  protected abstract runCommand(client: OperatorClient): Promise<number>;

  override execute(): Promise<number> {
    if (
      !/^https?:\/\//.test(this.operatorUrl) || !URL.canParse(this.operatorUrl)
    ) {
      return Promise.resolve(this.printUsageError(
        `--operator-url "${this.operatorUrl}" is not an http or https URL`,
      ));
    }
    return this.runCommand(
      new OperatorClient({
        operatorUrl: this.operatorUrl,
        token: this.context.env[TOKEN_VARIABLE],
      }),
    );
  }

  /** Prints `document` as JSON with `--json`, otherwise the text. */
  protected print(document: unknown, text: () => string): void {
    const output = this.json
      ? `${JSON.stringify(document, null, 2)}\n`
      : text();
    this.context.stdout.write(output);
  }

  /** Prints the value's text and ends well, or reports the failure. */
  protected printOutcome<T>(
    outcome: Outcome<T>,
    text: (value: T) => string,
  ): number {
    if (outcome.isErr()) return this.printFailure(outcome.error);
    this.print(outcome.value, () => text(outcome.value));
    return EXIT_CODES.ok;
  }

  /** Reports a failure on the error output; returns its exit code. */
  protected printFailure(failure: Failure): number {
    const faults = failure.faults ?? [];
    const lines = [
      `jackdawshift: ${failure.message}`,
      ...faults.map(({ path, message }) => `  ${path || "/"}: ${message}`),
    ];
    this.context.stderr.write(
      this.json ? `${JSON.stringify({ failure })}\n` : `${lines.join("\n")}\n`,
    );
    return exitCodeOf(failure);
  }

  /** Reports wrong arguments or declarations. */
  protected printUsageError(message: string, failure?: Failure): number {
    this.printFailure({
      verdict: "not-run",
      code: "bad-request",
      message,
      ...(failure?.faults === undefined ? {} : { faults: failure.faults }),
    });
    return EXIT_CODES.usage;
  }

  /** Reads a whole number of a flag within bounds; undefined when it is wrong. */
  protected parseInteger(
    text: string,
    bounds: { min: number; max: number },
  ): number | undefined {
    const value = Number(text);
    if (!/^\d+$/.test(text) || value < bounds.min || value > bounds.max) {
      return undefined;
    }
    return value;
  }
}
