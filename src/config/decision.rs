//! Checks the settings of the decision engine.

use super::ConfigError;
use crate::decision::Settings;

/// Checks the values that the decision engine divides by or uses as an index.
///
/// # Errors
///
/// Returns an error that names the key whose value is out of range, as the platform's settings call
/// it.
pub(super) fn check_settings(settings: &Settings) -> Result<(), ConfigError> {
    check_limiter(settings)?;
    check_not_empty("settings.classes", settings.classes.is_empty())?;
    check_not_empty("settings.tariffs", settings.plans.is_empty())?;
    check_classes(settings)?;
    check_plans(settings)
}

fn check_limiter(settings: &Settings) -> Result<(), ConfigError> {
    if settings.limiter < settings.limiters {
        return Ok(());
    }
    Err(ConfigError::LimiterNumber {
        limiter: settings.limiter,
        limiters: settings.limiters,
    })
}

fn check_not_empty(key: &'static str, is_empty: bool) -> Result<(), ConfigError> {
    if is_empty {
        let reason = "is missing or empty, wanted a list";
        return Err(ConfigError::Inconsistent { key, reason });
    }
    Ok(())
}

fn check_classes(settings: &Settings) -> Result<(), ConfigError> {
    let has_zero = settings
        .classes
        .iter()
        .any(|class| class.deadline == 0 || class.latency_objective == 0);
    if has_zero {
        return Err(ConfigError::OutOfRange {
            key: "settings.classes",
            reason: "\"slo\" and \"deadline\" must be above 0",
        });
    }
    Ok(())
}

fn check_plans(settings: &Settings) -> Result<(), ConfigError> {
    let is_invalid = |number: f64| !number.is_finite() || number < 0.0;
    let has_invalid = settings.plans.iter().any(|plan| {
        is_invalid(plan.rate) || is_invalid(plan.burst) || is_invalid(plan.weight_factor)
    });
    if has_invalid {
        return Err(ConfigError::OutOfRange {
            key: "settings.tariffs",
            reason: "rates, bursts and weight factors must be finite and not negative",
        });
    }
    Ok(())
}
