/**
 * How hosts that can't see each other's current load keep from selecting the
 * same path. The figures were compared by `npm run measure -- path_choices`; see
 * docs/design/14-first-event-estimate.md. Pure.
 *
 * @module
 */

/** Larger fleets exchange their loads through relays, with 0.6 to 2.4 s of delay. */
const MAX_DIRECT_HOSTS = 12;
/**
 * Share of the other hosts that are assumed to have sent the work in progress of
 * this host as well, since their last report.
 */
const UNREPORTED_SHARE = 0.6;

export interface ChoiceSpread {
  /** Share of the targets, drawn at random, that a choice considers. */
  readonly candidateShare: number;
  /** Costs are multiplied by a random factor between 1 and 1 + this. */
  readonly noise: number;
  /** Weight of this host's own prefill work in progress. */
  readonly ownWeight: number;
  /** Weight of the prefill work that the other hosts report. */
  readonly peerWeight: number;
  /**
   * Whether the reports are smoothed over seconds: work changes faster than
   * hosts learn of it, so the newest report tells no more than the mean.
   */
  readonly isSmoothed: boolean;
  /** Tokens that a millisecond to the first event counts as much as. */
  readonly amortizationTokens: number;
  /** Additional relative cost of a full target compared with an empty one. */
  readonly fullnessWeight: number;
}

/**
 * Weights for the estimate of a chosen path. Choices count this host's work for
 * what others send unseen, which overestimates the wait: the median error in a
 * burst at 9 hosts was 0.32 of the observed time with the weights of the
 * choice, and 0.19 with these.
 */
export const EXPECTED_WORK = { ownWeight: 1, peerWeight: 0.5 };

export function choiceSpread(hosts: number): ChoiceSpread {
  const ownWeight = 1 + UNREPORTED_SHARE * (hosts - 1);
  return hosts <= MAX_DIRECT_HOSTS
    ? {
      candidateShare: 1,
      noise: 0.3,
      ownWeight,
      // About half of it is finished by the time of the choice.
      peerWeight: 0.5,
      isSmoothed: false,
      amortizationTokens: 10,
      fullnessWeight: 1,
    }
    : {
      candidateShare: 0.5,
      noise: 0.1,
      ownWeight,
      peerWeight: 1,
      isSmoothed: true,
      amortizationTokens: 30,
      // Hosts that avoid the same full targets overload the same other ones.
      fullnessWeight: 0,
    };
}
