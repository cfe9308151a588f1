/**
 * Binding of services that must be disposed.
 *
 * @module
 */

import type { Container, Newable, ResolutionContext } from "inversify";
import type { Disposable } from "../../common/lifecycle.ts";

/** Binds a class to a factory; the container disposes the instance when it is unbound. */
export function bindDisposable<T extends Disposable>(
  container: Container,
  identifier: Newable<T>,
  create: (context: ResolutionContext) => T,
): void {
  container.bind<T>(identifier)
    .toDynamicValue(create)
    .onDeactivation((service) => service.dispose());
}
