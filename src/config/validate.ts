/**
 * Rules of the configuration that span several fields: stages that cover a
 * model's layers once, names that exist, and targets of the right kind.
 *
 * @module
 */

import type { z } from "zod";
import type { Fault } from "../common/verdict.ts";
import type { Config, PipelineConfig, TargetConfig } from "./schema.ts";

type AddFault = (path: readonly PropertyKey[], message: string) => void;

/** Writes a path as a JSON Pointer. */
export function jsonPointer(path: readonly PropertyKey[]): string {
  return path.map((part) =>
    "/" + String(part).replaceAll("~", "~0").replaceAll("/", "~1")
  ).join("");
}

/** The faults found by a schema, each at its own field. */
export function schemaFaults(
  error: z.ZodError,
  at: readonly PropertyKey[] = [],
): Fault[] {
  return error.issues.flatMap((issue) => {
    const path = [...at, ...issue.path];
    if (issue.code !== "unrecognized_keys") {
      return [{ path: jsonPointer(path), message: issue.message }];
    }
    return issue.keys.map((key) => ({
      path: jsonPointer([...path, key]),
      message: `unknown field "${key}"`,
    }));
  });
}

/** Checks the rules that the schema cannot express; empty when all hold. */
export function validateConfig(config: Config): Fault[] {
  const faults: Fault[] = [];
  const add: AddFault = (path, message) =>
    faults.push({ path: jsonPointer(path), message });
  checkKeyDigests(config, add);
  checkPipelines(config, add);
  checkServices(config, add);
  checkLinks(config, add);
  return faults;
}

function checkKeyDigests(config: Config, add: AddFault): void {
  const owners = new Map<string, string>();
  for (const [customer, { keyDigests }] of Object.entries(config.customers)) {
    for (const [index, digest] of keyDigests.entries()) {
      const path = ["customers", customer, "keyDigests", index];
      const owner = owners.get(digest);
      if (owner === customer) add(path, "key is listed twice");
      else if (owner !== undefined) {
        add(path, "key belongs to another customer");
      } else owners.set(digest, customer);
    }
  }
}

function checkPipelines(config: Config, add: AddFault): void {
  const pipelineByTarget = new Map<string, string>();
  for (const [name, pipeline] of Object.entries(config.pipelines)) {
    const at = ["pipelines", name];
    checkNames(pipeline.customers, [...at, "customers"], {
      known: config.customers,
      kind: "customer",
      add,
    });
    checkLayers(pipeline, at, add);
    checkStageTargets(name, {
      config,
      pipelineByTarget: pipelineByTarget,
      add,
    });
  }
  for (const [name, pipeline] of Object.entries(config.pipelines)) {
    checkStandbys(name, pipeline, {
      config,
      pipelineByTarget: pipelineByTarget,
      add,
    });
  }
}

function checkLayers(
  pipeline: PipelineConfig,
  at: readonly string[],
  add: AddFault,
): void {
  let covered = 0;
  for (const [index, { first, end }] of pipeline.stages.entries()) {
    const path = [...at, "stages", index];
    if (end <= first) {
      add([...path, "end"], `end ${end} is not above first ${first}`);
    }
    if (first > covered) {
      add([...path, "first"], `layers ${covered} to ${first} are in no stage`);
    }
    if (first < covered) {
      add(
        [...path, "first"],
        `layers ${first} to ${covered} are in two stages`,
      );
    }
    covered = Math.max(covered, end);
  }
  const { layerCount } = pipeline;
  if (covered === layerCount) return;
  const last = [...at, "stages", pipeline.stages.length - 1, "end"];
  if (covered < layerCount) {
    add(last, `layers ${covered} to ${layerCount} are in no stage`);
  } else {
    add(last, `layer ${covered - 1} is beyond the ${layerCount} layers`);
  }
}

interface TargetScope {
  readonly config: Config;
  /** Pipeline of each target that holds a stage. */
  readonly pipelineByTarget: Map<string, string>;
  readonly add: AddFault;
}

function checkStageTargets(pipeline: string, scope: TargetScope): void {
  const { config, pipelineByTarget: pipelineByTarget, add } = scope;
  for (const [index, stage] of config.pipelines[pipeline].stages.entries()) {
    for (const [targetIndex, target] of stage.targets.entries()) {
      const path = [
        "pipelines",
        pipeline,
        "stages",
        index,
        "targets",
        targetIndex,
      ];
      checkTarget(target, "engine", { path, config, add });
      const assignedPipeline = pipelineByTarget.get(target);
      if (assignedPipeline === pipeline) {
        add(path, `target "${target}" is listed twice in this pipeline`);
      } else if (assignedPipeline !== undefined) {
        add(
          path,
          `target "${target}" holds a stage of pipeline "${assignedPipeline}"`,
        );
      }
      pipelineByTarget.set(target, assignedPipeline ?? pipeline);
    }
  }
}

function checkStandbys(
  name: string,
  pipeline: PipelineConfig,
  scope: TargetScope,
): void {
  const { config, pipelineByTarget: pipelineByTarget, add } = scope;
  for (const [index, target] of pipeline.standbys.entries()) {
    const path = ["pipelines", name, "standbys", index];
    checkTarget(target, "engine", { path, config, add });
    const assignedPipeline = pipelineByTarget.get(target);
    if (assignedPipeline !== undefined) {
      add(
        path,
        `target "${target}" holds a stage of pipeline "${assignedPipeline}"`,
      );
    }
    if (pipeline.standbys.indexOf(target) !== index) {
      add(path, `target "${target}" is listed twice`);
    }
  }
}

function checkServices(config: Config, add: AddFault): void {
  for (const [name, service] of Object.entries(config.services)) {
    checkNames(service.customers, ["services", name, "customers"], {
      known: config.customers,
      kind: "customer",
      add,
    });
    for (const [index, target] of service.targets.entries()) {
      const path = ["services", name, "targets", index];
      checkTarget(target, "service", { path, config, add });
      if (service.targets.indexOf(target) !== index) {
        add(path, `target "${target}" is listed twice`);
      }
    }
  }
}

function checkLinks(config: Config, add: AddFault): void {
  if (config.links.length === 0) return;
  const targets = Object.values(config.targets);
  const domains = new Set(targets.map((target) => target.failureDomain));
  const pairs = new Set<string>();
  for (const [index, { from, to }] of config.links.entries()) {
    if (!domains.has(from)) addUnknownDomain(["links", index, "from"], from);
    if (!domains.has(to)) addUnknownDomain(["links", index, "to"], to);
    const pair = `${from} ${to}`;
    if (pairs.has(pair)) {
      add(
        ["links", index],
        `the link from "${from}" to "${to}" is listed twice`,
      );
    }
    pairs.add(pair);
  }
  function addUnknownDomain(path: PropertyKey[], domain: string): void {
    add(path, `no target is in failure domain "${domain}"`);
  }
}

function checkNames(
  names: readonly string[],
  at: readonly PropertyKey[],
  rule: { known: object; kind: string; add: AddFault },
): void {
  const seen = new Set<string>();
  for (const [index, name] of names.entries()) {
    if (!Object.hasOwn(rule.known, name)) {
      rule.add([...at, index], `${rule.kind} "${name}" does not exist`);
    }
    if (seen.has(name)) {
      rule.add([...at, index], `${rule.kind} "${name}" is listed twice`);
    }
    seen.add(name);
  }
}

function checkTarget(
  name: string,
  kind: TargetConfig["kind"],
  scope: { path: readonly PropertyKey[]; config: Config; add: AddFault },
): void {
  const { path, config, add } = scope;
  if (!Object.hasOwn(config.targets, name)) {
    return add(path, `target "${name}" does not exist`);
  }
  const actual = config.targets[name].kind;
  if (actual !== kind) {
    add(path, `target "${name}" is of kind "${actual}", not "${kind}"`);
  }
}
