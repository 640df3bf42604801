//! Simulated cloud: rentals that are idempotent by request name, and a machine list that lags.

use super::*;

impl World {
    pub(super) fn handle_cloud_call(&mut self, call: &CloudCall) -> CloudReply {
        match call {
            CloudCall::Types => CloudReply::Types(self.machine_types.clone()),
            CloudCall::Rent(Rental { request, kind, zone, spot, count }) => {
                if let Some(names) = self.rentals.get(request) {
                    return CloudReply::Rented(names.clone());
                }
                let alive = self.workers.values().filter(|w| !w.dead).count();
                let count = (*count as usize).min(self.cloud_capacity.saturating_sub(alive));
                if count == 0 {
                    return CloudReply::NoCapacity;
                }
                let names: Vec<String> = (0..count).map(|_| self.add_machine(kind, zone, *spot)).collect();
                self.rentals.insert(request.clone(), names.clone());
                CloudReply::Rented(names)
            }
            CloudCall::Return(names) => {
                names.iter().for_each(|n| drop(self.workers.remove(n)));
                CloudReply::Returned
            }
            CloudCall::List { after } => {
                // A machine that is not listed yet, or listed as booting, may already be up and run tasks.
                let lag = Micros::from_secs_f64(self.settings[0].params.cloud.list_lag_s);
                let age = |w: &Worker| self.now.since(w.rented_at);
                let machines = self.workers.iter().filter(|(n, w)| *n > after && age(w) > lag);
                let machines = machines.map(|(n, w)| ListedMachine {
                    id: n.clone(),
                    addr: n.clone(),
                    kind: w.kind.clone(),
                    zone: w.zone.clone(),
                    spot: w.spot,
                    state: match w.dead {
                        true => ListedState::Failed,
                        false if age(w) < lag + lag => ListedState::Booting,
                        false => ListedState::Running,
                    },
                    age_s: self.now.since(w.rented_at).as_secs_f64(),
                });
                CloudReply::List(MachineList { machines: machines.collect(), more: false })
            }
        }
    }

    /// Adds a machine that boots within `boot_time`.
    pub(super) fn add_machine(&mut self, kind: &str, zone: &str, spot: bool) -> String {
        self.next_machine += 1;
        let name = format!("m-{:06}", self.next_machine);
        let up_at = self.now + Micros(self.rng.random_range(self.boot_time.clone()));
        if up_at < self.now + Micros::from_secs(2) && self.fault_profile.quick_boots {
            self.record_fault("quick_boots");
        }
        let worker = Worker {
            kind: kind.into(),
            zone: zone.into(),
            spot,
            rented_at: self.now,
            dead: false,
            partitioned_until: Micros::ZERO,
            hung_until: Micros::ZERO,
            not_receiving_until: Micros::ZERO,
            reports_blocked_until: Micros::ZERO,
            faulty: false,
            session: 1,
            tally: 0,
            token: 0,
            lease_renewed_at: up_at,
            target_controller: self.rng.random_range(0..self.settings.len()),
            next_report_at: up_at,
            report_in_flight: None,
            tasks: BTreeMap::new(),
            preempted_at: None,
        };
        self.workers.insert(name.clone(), worker);
        self.schedule_at(up_at, SimEvent::WorkerTurn(name.clone()));
        name
    }
}
