/**
 * Binding of services that hold resources.
 *
 * @module
 */

import type { Container, Newable, ResolutionContext } from "inversify";
import type { Disposable } from "../../common/lifecycle.ts";

/** Binds a class to a factory; the container disposes what it made when it is emptied. */
export function bindDisposable<T extends Disposable>(
  container: Container,
  identifier: Newable<T>,
  create: (context: ResolutionContext) => T,
): void {
  container.bind<T>(identifier)
    .toDynamicValue(create)
    .onDeactivation((service) => service.dispose());
}
