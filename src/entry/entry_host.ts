/**
 * A host of the router. Composes the frontend for callers, readiness, metrics,
 * the followers of the store's logs, the exchange with other hosts and the
 * placement of the model, and runs their tasks under one supervisor.
 *
 * @module
 */

import { ContentQuarantine } from "../admission/content_quarantine.ts";
import { StopAdmission } from "../admission/stop_admission.ts";
import type { Clock } from "../common/clock.ts";
import { BucketMetrics } from "../common/bucket_metrics.ts";
import type { ILog } from "../common/logging.ts";
import { Supervisor, type Task } from "../common/supervisor.ts";
import { EraTracker } from "../feeds/era_tracker.ts";
import { createCallContext } from "./call_context.ts";
import { RequestHandler } from "../forward/request_handler.ts";
import { StartupGate } from "../forward/startup_gate.ts";
import { StreamMonitor } from "../forward/stream_monitor.ts";
import { KeepAliveAgent } from "../common/keep_alive_agent.ts";
import { PathChooser } from "../paths/path_chooser.ts";
import { LimitedTargetControl } from "../paths/limited_target_control.ts";
import { TargetReachability } from "../paths/target_reachability.ts";
import { TargetLimits } from "../paths/target_limits.ts";
import { TargetTable } from "../paths/target_table.ts";
import { PeerLink } from "../peers/peer_link.ts";
import { PlacementController } from "../placement/placement_controller.ts";
import type {
  IHeaderCodec,
  IHostRegistry,
  IKeyedLog,
  IRecordDecoder,
  ISettingsSource,
  ITargetControl,
} from "../ports/services.ts";
import type { Endpoint, HostSettings } from "../ports/types.ts";
import { isConfigFresh } from "./config_freshness.ts";
import { ConfigTracker } from "./config_tracker.ts";
import { broadcastUrgentChanges } from "./urgent_changes.ts";
import { DemandExchange } from "./demand_exchange.ts";
import { drainHost } from "./host_drain.ts";
import { registerGauges } from "./host_gauges.ts";
import { reportEraChanges } from "./era_report.ts";
import { hostRecord } from "./host_record.ts";
import { HostReadiness } from "./host_readiness.ts";
import { HostListeners, type HostPorts } from "./host_listeners.ts";
import { openHostPorts, openMetricsPort } from "./host_ports.ts";
import { LiveSettings } from "./live_settings.ts";
import { PeerExchange } from "./peer_exchange.ts";
import { TargetProber } from "./target_prober.ts";
import { ServiceLimits } from "./service_limits.ts";
import { StoreFeeds } from "./store_feeds.ts";
import { QuarantineSync } from "./quarantine_sync.ts";
import { createTargetAgent } from "./target_agent.ts";
import { TargetFeed } from "./target_feed.ts";

/** Maximum wait for tasks to end. */
const TASK_STOP_TIMEOUT_MS = 100;

export interface EntryHostOptions {
  readonly settings: HostSettings;
  /** By default, the settings never change. */
  readonly settingsSource?: ISettingsSource;
  readonly configLog: IKeyedLog;
  readonly targetLog: IKeyedLog;
  readonly registry: IHostRegistry;
  /** Also told of the eras in the answers of the store's other calls. */
  readonly eras?: EraTracker;
  readonly decoder: IRecordDecoder;
  readonly codec: IHeaderCodec;
  readonly control: ITargetControl;
  readonly clock: Clock;
  readonly log: ILog;
  readonly metrics?: BucketMetrics;
  readonly random?: () => number;
}

export class EntryHost {
  readonly #options: EntryHostOptions;
  readonly #settings: LiveSettings;
  readonly #metrics: BucketMetrics;
  readonly #random: () => number;
  readonly #supervisor: Supervisor;
  readonly #targets: TargetTable;
  readonly #targetLimits: TargetLimits;
  readonly #reachability: TargetReachability;
  readonly #chooser: PathChooser;
  readonly #config: ConfigTracker;
  readonly #eras: EraTracker;
  readonly #feeds: StoreFeeds;
  readonly #link: PeerLink;
  readonly #peers: PeerExchange;
  readonly #quarantine: ContentQuarantine;
  readonly #quarantineSync: QuarantineSync;
  readonly #placement: PlacementController;
  readonly #prober: TargetProber;
  readonly #watch: StreamMonitor;
  readonly #agent: KeepAliveAgent;
  readonly #hostAgent = new KeepAliveAgent();
  readonly #core: RequestHandler;
  readonly #limits: ServiceLimits;
  readonly #admission: DemandExchange;
  readonly #listeners: HostListeners;
  readonly #stopAdmission: StopAdmission;
  #stopped: Promise<void> | undefined;

  constructor(options: EntryHostOptions) {
    this.#options = options;
    const { settings, clock, log, decoder, registry } = options;
    const { hostId, domain } = settings;
    this.#settings = new LiveSettings(options);
    this.#metrics = options.metrics ?? new BucketMetrics();
    this.#random = options.random ?? Math.random;
    this.#supervisor = new Supervisor({
      name: "host",
      clock,
      random: this.#random,
    });
    this.#supervisor.onFailure((failure) =>
      log.error("background task failed", { ...failure })
    );
    this.#targets = new TargetTable({ clock, log });
    this.#targetLimits = new TargetLimits({
      clock,
      log,
      targets: this.#targets,
      hostId,
      otherHosts: () => this.#peers.otherHostIds(),
    });
    const control = new LimitedTargetControl({
      control: options.control,
      limits: this.#targetLimits,
      targets: this.#targets,
      clock,
      metrics: this.#metrics,
    });
    this.#reachability = new TargetReachability({
      targets: this.#targets,
      clock,
      log,
      probe: (target, timeoutMs) =>
        control.probe(target, timeoutMs, { purpose: "reachability" }),
      mayProbe: (id) => this.#targetLimits.canSend(id),
      random: this.#random,
    });
    this.#chooser = new PathChooser({
      targetTable: this.#targets,
      clock,
      domain,
      hosts: () => this.#peers.hostCount,
      random: this.#random,
      limits: this.#targetLimits,
    });
    this.#config = new ConfigTracker({ decoder, log });
    this.#stopAdmission = new StopAdmission({ clock });
    const isStopping = (): boolean => this.#stopAdmission.isStopping;
    const host = hostRecord(settings, clock);
    this.#link = new PeerLink({ host, clock, log });
    this.#admission = new DemandExchange({
      clock,
      log,
      random: this.#random,
      peers: () => this.#peers,
    });
    this.#limits = new ServiceLimits({
      clock,
      settings,
      random: this.#random,
      admission: (service) => this.#admission.of(service),
      knownHosts: () => this.#link.knownCount,
    });
    this.#quarantine = new ContentQuarantine({ clock, hostId });
    this.#eras = options.eras ?? new EraTracker({ clock, log });
    this.#feeds = new StoreFeeds({
      eras: this.#eras,
      configLog: options.configLog,
      targetLog: options.targetLog,
      link: this.#link,
      hostAgent: this.#hostAgent,
      clock,
      log,
      metrics: this.#metrics,
      reader: () => this.#peers.reader(),
      isNewestConfig: (record) => this.#config.isNewest(record),
      random: this.#random,
    });
    this.#placement = new PlacementController({
      targetTable: this.#targets,
      control,
      clock,
      log,
      metrics: this.#metrics,
      config: () => this.#config.table?.config,
      reportSilent: this.#reachability.reportSilent,
      isLeader: () => this.#peers.isLeader(),
    });
    this.#quarantineSync = new QuarantineSync({
      quarantine: this.#quarantine,
      registry,
      log,
      isLeader: () => this.#peers.isLeader(),
    });
    this.#peers = new PeerExchange({
      quarantine: this.#quarantineSync,
      demand: this.#admission,
      eras: this.#eras,
      random: this.#random,
      link: this.#link,
      registry,
      targets: this.#targets,
      limits: this.#targetLimits,
      clock,
      log,
      canLead: () => !isStopping() && this.#isFresh(),
      cutOffServices: () => this.#reachability.cutOffServices(),
      acceptsDelegated: () => !isStopping(),
      canRead: () => !isStopping() && this.#feeds.isStoreReachable,
      slowTargets: () => this.#placement.slowTargets(),
      onPeerLoad: () => this.#limits.scheduleDispatch(),
    });
    this.#prober = new TargetProber({
      targets: this.#targets,
      control,
      clock,
      log,
      hasReports: (service) =>
        this.#config.table?.config.services.get(service)?.engine !== undefined,
      reportSilent: this.#reachability.reportSilent,
      link: this.#link,
      peers: this.#peers,
    });
    const onTick = (): void => this.#limits.tick();
    this.#watch = new StreamMonitor({ clock, onTick });
    this.#agent = createTargetAgent(log);
    const startupGate = new StartupGate({ clock, eras: this.#eras });
    this.#feeds.config.onWatermark(() => startupGate.open());
    this.#core = new RequestHandler({
      context: createCallContext({
        settings,
        clock,
        log,
        codec: options.codec,
        random: this.#random,
        metrics: this.#metrics,
        targets: this.#targets,
        limits: this.#targetLimits,
        chooser: this.#chooser,
        control,
        reachability: this.#reachability,
        peers: this.#peers,
        agent: this.#agent,
        hostAgent: this.#hostAgent,
        quarantine: this.#quarantine,
        monitor: this.#watch,
        serviceLimits: this.#limits,
        stopAdmission: this.#stopAdmission,
      }),
      startupGate,
      routes: () => this.#config.table,
      isConfigFresh: () => this.#isFresh(),
      configAgeMs: () => this.#feeds.config.ageMs,
    });
    const readiness = new HostReadiness({
      log,
      isStopping,
      config: this.#config,
      feed: this.#feeds.config,
      targets: this.#targets,
    });
    this.#listeners = new HostListeners({
      settings,
      log,
      onRequest: (...exchange) => this.#core.serve(...exchange),
      onDelegated: (request, response) => {
        if (this.#feeds.transfer.tryServe(request, response)) return;
        return this.#core.serve(request, response, "host");
      },
      isReady: () => readiness.isReady(),
      renderMetrics: () => this.#metrics.render(),
    });
    this.#wire();
  }

  /** Opens the ports and starts all tasks. Rejects if a port stays in use. */
  async start(): Promise<void> {
    const { settings: { domain, frontend }, log } = this.#options;
    const [link, listeners] = [this.#link, this.#listeners];
    const ports = { ...this.#options, link, listeners };
    await openHostPorts(ports);
    const peers = this.#peers;
    const tasks: Readonly<Record<string, { readonly run: Task }>> = {
      config: this.#feeds.config,
      targets: this.#feeds.targets,
      placement: this.#placement,
      reachability: this.#reachability,
      prober: this.#prober,
      watch: this.#watch,
      settings: this.#settings,
      metrics: { run: (signal) => openMetricsPort(ports, signal) },
      peers: { run: (signal) => peers.runSender(signal) },
      registry: { run: (signal) => peers.runRegistry(signal) },
    };
    for (const [name, task] of Object.entries(tasks)) {
      this.#supervisor.start(name, (signal) => task.run(signal));
    }
    log.info("host started", { domain, frontend });
  }

  /** Where other hosts send datagrams, and requests that they delegate. */
  get hostAddress(): Endpoint {
    return this.#link.host;
  }

  get ports(): HostPorts {
    return this.#listeners.ports;
  }

  /**
   * Drains within the grace period: accepts what can end in time and lets active
   * requests end. Resolves when the host may exit, also if called again meanwhile.
   */
  stop(): Promise<void> {
    this.#stopped ??= this.#stop();
    return this.#stopped;
  }

  async #stop(): Promise<void> {
    const { clock, log } = this.#options;
    await drainHost({
      clock,
      log,
      graceMs: this.#settings.bounds.graceMs,
      admission: this.#stopAdmission,
      requests: this.#core,
    });
    this.dispose();
    // A task may be waiting for the store, so the wait for its end is limited.
    await Promise.race([
      this.#supervisor.stop(),
      clock.sleep(TASK_STOP_TIMEOUT_MS),
    ]);
  }

  /** Stops at once and aborts requests in progress. */
  dispose(): void {
    this.#core.abortActive();
    for (const one of [this.#listeners, this.#link]) one.dispose();
    for (const agent of [this.#agent, this.#hostAgent]) agent.destroy();
    void this.#supervisor.stop();
  }

  /** Reads the settings file at once, as the operator asked for. */
  reload(): void {
    this.#options.log.info("reload requested");
    void this.#settings.check();
  }

  #wire(): void {
    const { decoder, log } = this.#options;
    const feed = new TargetFeed({
      targets: this.#targets,
      decoder,
      log,
      sinceRecoveryMs: () => this.#feeds.targets.sinceRecoveryMs,
      isEraSettled: () => this.#eras.isSettled,
    });
    this.#settings.onBounds((bounds) => this.#limits.applyBounds(bounds));
    this.#config.onChange(({ config }) =>
      this.#listeners.applyLimits(config.limits)
    );
    this.#feeds.config.onBatch((batch) => this.#config.apply(batch));
    this.#feeds.targets.onBatch((batch) => feed.apply(batch));
    this.#targets.onChange(() => this.#limits.scheduleDispatch());
    this.#reachability.onChange(({ isCutOff }) => {
      if (!isCutOff) void this.#prober.probeAll();
    });
    const parts = {
      log,
      metrics: this.#metrics,
      core: this.#core,
      feeds: this.#feeds,
      config: this.#config,
      eras: this.#eras,
      targets: this.#targets,
      reachability: this.#reachability,
      limits: this.#targetLimits,
      peers: this.#peers,
      quarantine: this.#quarantine,
      admission: this.#admission,
    };
    broadcastUrgentChanges(parts);
    reportEraChanges(parts);
    registerGauges(this.#metrics, parts);
  }

  #isFresh(): boolean {
    return isConfigFresh(this.#feeds.config.ageMs, this.#settings.bounds);
  }
}
